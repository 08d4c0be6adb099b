package org.ebonyrun.core.attempt;

/**
 * Learns how many slots to keep free of samples for calls: the recent mean of concurrent calls plus
 * a number of deviations, taken as that of random arrivals.
 *
 * <p>The number of deviations follows the target: each call that ends late raises it, each call in
 * time lowers it, in such a ratio that it comes to rest where half of the calls that the target
 * lets be late are late. So samples get what calls don't need to meet their target.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
final class CallReserve {
    private static final double MEMORY_SECONDS = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NEGLIGIBLE_CALLS = 0.05;
    private static final double MIN_DEVIATIONS = -3;
    private static final double MAX_DEVIATIONS = 3;
    private static final double FIRST_DEVIATIONS = 1;
    private static final double RAISE = 0.5;
    private static final double USED_LATENESS = 0.5;

    private double mMean;
    private double mDeviations = FIRST_DEVIATIONS;
    private int mCalls;
    private long mUpdated;

    /** Takes note of the number of calls that run or wait from now on. */
    void updateOpenCalls(int calls, long now) {
        mMean = mean(now);
        mCalls = calls;
        mUpdated = now;
    }

    /**
     * Takes note of the end of a call.
     *
     * @param quantile the share of calls that must be in time
     */
    void onCallEnd(boolean inTime, double quantile) {
        double lateShare = (1 - quantile) * USED_LATENESS;
        double change = inTime ? -RAISE * lateShare / (1 - lateShare) : RAISE;
        double changed = mDeviations + change;
        mDeviations = Math.max(MIN_DEVIATIONS, Math.min(MAX_DEVIATIONS, changed));
    }

    /** Returns the number of slots to keep, at most half of {@code slots}. */
    int reservedSlots(int slots, long now) {
        double mean = mean(now);
        if (mean < NEGLIGIBLE_CALLS) {
            return 0;
        }
        int wanted = (int) Math.ceil(mean + mDeviations * Math.sqrt(mean));
        return Math.max(0, Math.min(wanted, slots / 2));
    }

    /** Returns the mean over time, weighted by age. */
    private double mean(long now) {
        double seconds = (now - mUpdated) / NANOS_PER_SECOND;
        double kept = Math.exp(-seconds / MEMORY_SECONDS);
        return mMean * kept + mCalls * (1 - kept);
    }
}
