package org.ebonyrun.core.attempt;

/**
 * Estimates how many slots to reserve for calls: the recent mean number of concurrent calls plus a
 * multiple of its standard deviation. Arrivals are assumed to be random (Poisson), so the standard
 * deviation is the square root of the mean.
 *
 * <p>A feedback loop adjusts the multiple: each late call raises it and each call in time lowers
 * it. The two increments have such a ratio that the multiple is stable when the share of late calls
 * is half of what the target allows. Samples thus get the slots that calls don't need to meet their
 * target.
 *
 * <p>Not thread safe; confined to the attempt event loop.
 */
final class CallReserve {
    private static final double DECAY_SECONDS = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NEGLIGIBLE_CALLS = 0.05;
    private static final double MIN_DEVIATIONS = -3;
    private static final double MAX_DEVIATIONS = 3;
    private static final double INITIAL_DEVIATIONS = 1;
    private static final double LATE_INCREMENT = 0.5;
    private static final double USED_LATE_SHARE = 0.5;

    private double mMean;
    private double mDeviations = INITIAL_DEVIATIONS;
    private int mCalls;
    private long mUpdatedAt;

    /** Updates the number of calls that run or wait from {@code now} on. */
    void updateOpenCalls(int calls, long now) {
        mMean = mean(now);
        mCalls = calls;
        mUpdatedAt = now;
    }

    /**
     * Records the end of a call.
     *
     * @param quantile the share of calls that must be in time
     */
    void onCallEnd(boolean inTime, double quantile) {
        double lateShare = (1 - quantile) * USED_LATE_SHARE;
        double change = inTime ? -LATE_INCREMENT * lateShare / (1 - lateShare) : LATE_INCREMENT;
        double changed = mDeviations + change;
        mDeviations = Math.max(MIN_DEVIATIONS, Math.min(MAX_DEVIATIONS, changed));
    }

    /** Returns the number of slots to reserve for calls, at most half of {@code slots}. */
    int reservedSlots(int slots, long now) {
        double mean = mean(now);
        if (mean < NEGLIGIBLE_CALLS) {
            return 0;
        }
        int needed = (int) Math.ceil(mean + mDeviations * Math.sqrt(mean));
        return Math.max(0, Math.min(needed, slots / 2));
    }

    /** Returns the exponentially weighted moving average of the number of calls. */
    private double mean(long now) {
        double seconds = (now - mUpdatedAt) / NANOS_PER_SECOND;
        double oldWeight = Math.exp(-seconds / DECAY_SECONDS);
        return mMean * oldWeight + mCalls * (1 - oldWeight);
    }
}
