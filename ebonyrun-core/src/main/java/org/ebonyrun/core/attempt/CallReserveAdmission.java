package org.ebonyrun.core.attempt;

/**
 * Keeps slots free for calls by a {@link CallReserve}. Samples whose target has passed may have
 * half of the slots all the same: when neither side's targets can be met, both get an equal part.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
final class CallReserveAdmission implements SampleAdmission {
    private final CallReserve mReserve = new CallReserve();

    @Override
    public int admissibleSamples(int slots, int calls, int samples, long now) {
        int reserved = Math.max(calls, mReserve.reservedSlots(slots, now));
        return Math.max(0, slots - reserved - samples);
    }

    @Override
    public int admissibleUrgentSamples(int slots, int samples) {
        return Math.max(0, slots / 2 - samples);
    }

    @Override
    public void updateOpenCalls(int calls, long now) {
        mReserve.updateOpenCalls(calls, now);
    }

    @Override
    public void onCallEnd(boolean inTime, double quantile) {
        mReserve.onCallEnd(inTime, quantile);
    }
}
