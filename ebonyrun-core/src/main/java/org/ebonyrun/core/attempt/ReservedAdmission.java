package org.ebonyrun.core.attempt;

/**
 * Keeps slots free for calls by a {@link CallReserve}. Samples whose target has passed may have
 * half of the slots all the same: when neither side's targets can be met, both get an equal part.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
final class ReservedAdmission implements SampleAdmission {
    private final CallReserve mReserve = new CallReserve();

    @Override
    public int room(int slots, int calls, int samples, long now) {
        int reserved = Math.max(calls, mReserve.slots(slots, now));
        return Math.max(0, slots - reserved - samples);
    }

    @Override
    public int urgentRoom(int slots, int samples) {
        return Math.max(0, slots / 2 - samples);
    }

    @Override
    public void onCalls(int calls, long now) {
        mReserve.onCalls(calls, now);
    }

    @Override
    public void onCallEnd(boolean inTime, double quantile) {
        mReserve.onCallEnd(inTime, quantile);
    }
}
