package org.ebonyrun.core.attempt;

import java.util.function.IntBinaryOperator;

/**
 * Decides how many samples an agent admits beside the calls of its endpoint.
 *
 * <p>Implementations are not thread safe; confined to the attempt event loop.
 */
public interface SampleAdmission {
    /**
     * Returns how many more samples may be admitted.
     *
     * @param slots the number of attempts that may run concurrently
     * @param calls the number of calls that run or wait
     * @param samples the number of samples that run or wait
     */
    int admissibleSamples(int slots, int calls, int samples, long now);

    /**
     * Returns how many more samples whose target has passed may be admitted.
     *
     * @param slots the number of attempts that may run concurrently
     * @param samples the number of samples that run or wait
     */
    default int admissibleUrgentSamples(int slots, int samples) {
        return 0;
    }

    /** Updates the number of calls that run or wait. */
    default void updateOpenCalls(int calls, long now) {}

    /**
     * Records the end of a call. A refused call counts as late.
     *
     * @param inTime whether the call met its target
     * @param quantile the share of calls of its class that must be in time
     */
    default void onCallEnd(boolean inTime, double quantile) {}

    /** Records generated tokens. */
    default void onTokens(WorkKind kind, int tokens) {}

    /** Returns the policy that reserves slots for future calls, estimated from recent calls. */
    static SampleAdmission callReserve() {
        return new CallReserveAdmission();
    }

    /** Returns the policy that admits samples to every free slot. */
    static SampleAdmission freeSlots() {
        return stateless((slots, busy) -> slots - busy);
    }

    /**
     * Returns the policy that admits samples to free slots only while they have not generated more
     * tokens than the calls.
     */
    static SampleAdmission tokenCounter() {
        return new TokenCounterAdmission();
    }

    private static SampleAdmission stateless(IntBinaryOperator freeSlots) {
        return (slots, calls, samples, now) ->
                Math.max(0, freeSlots.applyAsInt(slots, calls + samples));
    }
}
