package org.ebonyrun.core.attempt;

import static com.google.common.base.Preconditions.checkArgument;

import org.HdrHistogram.IntCountsHistogram;

/**
 * Quantiles and mean of recent durations. Measurements are kept in two histograms; when the newer
 * one has a full window of measurements, the older one is cleared and becomes the newer one.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class RotatingHistogram {
    private static final long MAX_MILLIS = 3_600_000;
    private static final int SIGNIFICANT_DIGITS = 1;

    private final int mWindow;
    private IntCountsHistogram mOlder = newHistogram();
    private IntCountsHistogram mNewer = newHistogram();

    private RotatingHistogram(int window) {
        checkArgument(window > 0, "window must be positive: %s", window);
        mWindow = window;
    }

    /**
     * Creates an empty estimator that covers the last one to two windows of measurements.
     *
     * @param window the number of measurements in a window
     */
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
        mNewer.recordValue(Math.max(0, Math.min(millis, MAX_MILLIS)));
    }

    /** Returns the number of measurements currently held. */
    public long count() {
        return mOlder.getTotalCount() + mNewer.getTotalCount();
    }

    /** Returns a quantile in milliseconds, or the fallback if there are no measurements. */
    public long quantile(double q, long fallbackMillis) {
        return count() == 0 ? fallbackMillis : recentHistogram().getValueAtPercentile(q * 100);
    }

    /** Returns the mean in milliseconds, or the fallback if there are no measurements. */
    public double mean(double fallbackMillis) {
        return count() == 0 ? fallbackMillis : recentHistogram().getMean();
    }

    private IntCountsHistogram recentHistogram() {
        return mNewer.getTotalCount() * 2 >= mWindow ? mNewer : mergeHistograms();
    }

    private IntCountsHistogram mergeHistograms() {
        IntCountsHistogram merged = newHistogram();
        merged.add(mOlder);
        merged.add(mNewer);
        return merged;
    }

    private static IntCountsHistogram newHistogram() {
        return new IntCountsHistogram(1, MAX_MILLIS, SIGNIFICANT_DIGITS);
    }
}
