package org.ebonyrun.core.hedge;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import org.ebonyrun.base.time.Nanos;

/**
 * Quantiles of the latencies of the last one to two minutes, in constant memory.
 *
 * <p>Not thread safe.
 */
final class LatencyHistory {
    /** The age at which latencies are forgotten, at the latest. */
    static final long MAX_AGE_NANOS = 2 * Nanos.ofMillis(60_000);

    private static final long PERIOD_NANOS = MAX_AGE_NANOS / 2;

    private LatencyCounts mOlder = new LatencyCounts();
    private LatencyCounts mNewer = new LatencyCounts();
    private long mOlderStartedAt;
    private long mNewerStartedAt;
    // The quantile that was computed last; NaN if the latencies have changed since.
    private double mCachedQuantile = Double.NaN;
    private long mCachedNanos;

    LatencyHistory(long now) {
        mOlderStartedAt = now;
        mNewerStartedAt = now;
    }

    /** Adds a latency. */
    void add(long nanos, long now) {
        checkArgument(nanos >= 0, "latency is negative: %s ns", nanos);
        rotate(now);
        mNewer.add(nanos);
        mCachedQuantile = Double.NaN;
    }

    /**
     * Returns a quantile as a delay; empty with so few latencies that less than one is expected
     * beyond the quantile.
     */
    Optional<HedgeDelay> quantile(double q, HedgeDelay.Source source, long now) {
        rotate(now);
        long count = (long) mOlder.total() + mNewer.total();
        if (count * (1 - q) < 1 - 1e-9) {
            return Optional.empty();
        }
        if (q != mCachedQuantile) {
            mCachedQuantile = q;
            mCachedNanos = LatencyCounts.quantile(q, mOlder, mNewer);
        }
        long since = mOlder.total() > 0 ? mOlderStartedAt : mNewerStartedAt;
        return Optional.of(new HedgeDelay(mCachedNanos, source, count, now - since));
    }

    private void rotate(long now) {
        if (now - mNewerStartedAt < PERIOD_NANOS) {
            return;
        }
        mCachedQuantile = Double.NaN;
        boolean allExpired = now - mNewerStartedAt >= MAX_AGE_NANOS;
        LatencyCounts recycled = mOlder;
        mOlder = mNewer;
        mOlderStartedAt = mNewerStartedAt;
        mNewer = recycled;
        mNewer.clear();
        mNewerStartedAt = now;
        if (allExpired) {
            mOlder.clear();
        }
    }
}
