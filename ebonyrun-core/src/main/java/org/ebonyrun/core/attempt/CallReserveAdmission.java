package org.ebonyrun.core.attempt;

/**
 * Reserves slots for calls by a {@link CallReserve}. Samples whose target has passed may use half
 * of the slots regardless of the reserve: when neither calls nor samples can meet their targets,
 * each side gets an equal share.
 *
 * <p>Not thread safe; confined to the attempt event loop.
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
