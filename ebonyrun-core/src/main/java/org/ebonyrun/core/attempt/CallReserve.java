package org.ebonyrun.core.attempt;

/**
 * Learns how many slots to keep free of samples, so that calls rarely wait behind them: the recent
 * peak of concurrent calls, which decays when the peak is not reached again, plus one.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
final class CallReserve {
    private static final double KEEP_PER_SECOND = 0.98;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mPeak;
    private long mUpdated;

    /** Takes note of the number of calls that run or wait. */
    void onCalls(int calls, long now) {
        mPeak = Math.max(calls, decayed(now));
        mUpdated = now;
    }

    /** Returns the number of slots to keep, at most half of {@code slots}. */
    int slots(int slots, long now) {
        double peak = decayed(now);
        int wanted = peak < 0.5 ? 0 : (int) Math.ceil(peak) + 1;
        return Math.min(wanted, slots / 2);
    }

    private double decayed(long now) {
        double seconds = (now - mUpdated) / NANOS_PER_SECOND;
        return mPeak * Math.pow(KEEP_PER_SECOND, seconds);
    }
}
