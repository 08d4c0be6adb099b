package org.ebonyrun.core.hedge;

import java.util.Arrays;
import org.ebonyrun.base.time.Nanos;

/**
 * Counts latencies of up to a minute in buckets of at most a sixteenth of their value, and of at
 * least a millisecond, in 836 bytes. Longer latencies count as a minute.
 *
 * <p>Not thread safe.
 */
final class LatencyCounts {
    private static final long MAX_MILLIS = 60_000;
    private static final int SUB_BUCKET_BITS = 4;
    private static final int SUB_BUCKETS = 1 << SUB_BUCKET_BITS;
    private static final int BUCKETS = bucket(MAX_MILLIS) + 1;

    private final int[] mCounts = new int[BUCKETS];
    private int mTotal;

    /** Adds a latency in nanoseconds. */
    void add(long nanos) {
        mCounts[bucket(Math.min(MAX_MILLIS, Nanos.toMillis(nanos)))]++;
        mTotal++;
    }

    /** Returns the number of latencies. */
    int total() {
        return mTotal;
    }

    /** Removes all latencies. */
    void clear() {
        Arrays.fill(mCounts, 0);
        mTotal = 0;
    }

    /**
     * Returns the shortest latency, rounded up to the end of its bucket, that a fraction of the
     * latencies of both counts do not exceed; in nanoseconds.
     */
    static long quantile(double q, LatencyCounts a, LatencyCounts b) {
        // A rank that is whole but for a rounding error is not rounded up.
        long rank = (long) Math.ceil(q * (a.mTotal + b.mTotal) - 1e-6);
        long seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += a.mCounts[i] + b.mCounts[i];
            if (seen >= rank && seen > 0) {
                return Nanos.ofMillis(endMillis(i));
            }
        }
        return Nanos.ofMillis(endMillis(BUCKETS - 1));
    }

    private static int bucket(long millis) {
        if (millis < SUB_BUCKETS) {
            return (int) millis;
        }
        int exponent = Long.SIZE - 1 - Long.numberOfLeadingZeros(millis) - SUB_BUCKET_BITS;
        int offset = (int) (millis >> exponent) - SUB_BUCKETS;
        return (exponent + 1) * SUB_BUCKETS + offset;
    }

    /** Returns the first latency that is too long for a bucket, in milliseconds. */
    private static long endMillis(int bucket) {
        if (bucket < SUB_BUCKETS) {
            return bucket + 1;
        }
        int exponent = bucket / SUB_BUCKETS - 1;
        return (SUB_BUCKETS + bucket % SUB_BUCKETS + 1L) << exponent;
    }
}
