package org.ebonyrun.core.attempt;

/**
 * Learns how many slots to keep free of samples, so that calls rarely wait behind them: the recent
 * mean of concurrent calls plus a deviation, taken as that of random arrivals.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
final class CallReserve {
    private static final double MEMORY_SECONDS = 20;
    private static final double DEVIATIONS = 1;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NEGLIGIBLE_CALLS = 0.05;

    private double mMean;
    private int mCalls;
    private long mUpdated;

    /** Takes note of the number of calls that run or wait from now on. */
    void onCalls(int calls, long now) {
        mMean = mean(now);
        mCalls = calls;
        mUpdated = now;
    }

    /** Returns the number of slots to keep, at most half of {@code slots}. */
    int slots(int slots, long now) {
        double mean = mean(now);
        if (mean < NEGLIGIBLE_CALLS) {
            return 0;
        }
        int wanted = (int) Math.ceil(mean + DEVIATIONS * Math.sqrt(mean));
        return Math.min(wanted, slots / 2);
    }

    /** Returns the mean over time, weighted by age. */
    private double mean(long now) {
        double seconds = (now - mUpdated) / NANOS_PER_SECOND;
        double kept = Math.exp(-seconds / MEMORY_SECONDS);
        return mMean * kept + mCalls * (1 - kept);
    }
}
