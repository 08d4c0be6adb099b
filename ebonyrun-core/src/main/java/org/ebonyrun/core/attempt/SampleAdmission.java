package org.ebonyrun.core.attempt;

import java.util.function.IntBinaryOperator;

/**
 * Decides how many samples an endpoint may start beside its calls.
 *
 * <p>Implementations are not thread safe; confined to the attempt duty.
 */
public interface SampleAdmission {
    /**
     * Returns how many more samples may start.
     *
     * @param slots how many attempts run at once
     * @param calls calls that run or wait
     * @param samples samples that run or wait
     */
    int admissibleSamples(int slots, int calls, int samples, long now);

    /**
     * Returns how many more samples whose target has passed may start.
     *
     * @param samples samples that run or wait
     */
    default int admissibleUrgentSamples(int slots, int samples) {
        return 0;
    }

    /** Takes note of the number of calls that run or wait. */
    default void updateOpenCalls(int calls, long now) {}

    /**
     * Takes note of the end of a call; a refused one counts as late.
     *
     * @param quantile the share of calls of its class that must be in time
     */
    default void onCallEnd(boolean inTime, double quantile) {}

    /** Takes note of generated tokens. */
    default void onTokens(WorkKind kind, int tokens) {}

    /** Returns the rule that keeps slots for the calls that may come, learned from recent ones. */
    static SampleAdmission callReserve() {
        return new CallReserveAdmission();
    }

    /** Returns the rule that gives every free slot to samples. */
    static SampleAdmission freeSlots() {
        return stateless((slots, busy) -> slots - busy);
    }

    /** Returns the rule that gives free slots to whoever has generated fewer tokens. */
    static SampleAdmission tokenCounter() {
        return new TokenCounterAdmission();
    }

    private static SampleAdmission stateless(IntBinaryOperator room) {
        return (slots, calls, samples, now) -> Math.max(0, room.applyAsInt(slots, calls + samples));
    }
}
