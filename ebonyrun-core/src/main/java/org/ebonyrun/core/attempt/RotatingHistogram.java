package org.ebonyrun.core.attempt;

import static com.google.common.base.Preconditions.checkArgument;

import org.HdrHistogram.IntCountsHistogram;

/**
 * Quantiles of recent durations: two windows of samples, of which the older is dropped when the
 * newer is full.
 *
 * <p>Not thread safe; confined to the duty that owns it.
 */
public final class RotatingHistogram {
    private static final long HIGHEST_MILLIS = 3_600_000;
    private static final int SIGNIFICANT_DIGITS = 1;

    private final int mWindow;
    private IntCountsHistogram mOlder = histogram();
    private IntCountsHistogram mNewer = histogram();

    private RotatingHistogram(int window) {
        checkArgument(window > 0, "window is not positive: %s", window);
        mWindow = window;
    }

    /** Creates an estimator that forgets after one to two windows of samples. */
    public static RotatingHistogram create(int window) {
        return new RotatingHistogram(window);
    }

    /** Adds a duration in milliseconds. */
    public void add(long millis) {
        if (mNewer.getTotalCount() >= mWindow) {
            IntCountsHistogram recycled = mOlder;
            mOlder = mNewer;
            mNewer = recycled;
            mNewer.reset();
        }
        mNewer.recordValue(Math.max(0, Math.min(millis, HIGHEST_MILLIS)));
    }

    /** Returns the number of samples that are remembered. */
    public long count() {
        return mOlder.getTotalCount() + mNewer.getTotalCount();
    }

    /** Returns a quantile in milliseconds, or the fallback while nothing is known. */
    public long quantile(double q, long fallbackMillis) {
        return count() == 0 ? fallbackMillis : window().getValueAtPercentile(q * 100);
    }

    /** Returns the mean in milliseconds, or the fallback while nothing is known. */
    public double mean(double fallbackMillis) {
        return count() == 0 ? fallbackMillis : window().getMean();
    }

    private IntCountsHistogram window() {
        return mNewer.getTotalCount() * 2 >= mWindow ? mNewer : merged();
    }

    private IntCountsHistogram merged() {
        IntCountsHistogram sum = histogram();
        sum.add(mOlder);
        sum.add(mNewer);
        return sum;
    }

    private static IntCountsHistogram histogram() {
        return new IntCountsHistogram(1, HIGHEST_MILLIS, SIGNIFICANT_DIGITS);
    }
}
