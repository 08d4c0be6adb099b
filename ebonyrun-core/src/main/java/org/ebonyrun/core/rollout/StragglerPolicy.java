package org.ebonyrun.core.rollout;

/**
 * Decides when a slow sample is run a second time. Implementations are immutable and thread safe.
 */
@FunctionalInterface
public interface StragglerPolicy {
    /**
     * Returns whether to start a second attempt.
     *
     * @param ageMillis time since the slot was submitted, in milliseconds
     * @param typicalMillis the step's median time from submission to finish, in milliseconds; zero
     *     while unknown
     * @param unfinished slots of the step that are not finished
     * @param slots all slots of the step
     */
    boolean shouldHedge(long ageMillis, long typicalMillis, int unfinished, int slots);

    /** Returns the policy that never starts a second attempt. */
    static StragglerPolicy neverHedge() {
        return (age, typical, unfinished, slots) -> false;
    }

    /**
     * Returns the policy that repeats samples of a step's tail that have taken much longer than the
     * others. Only the tail is repeated, so the tokens that a losing attempt wastes are bounded by
     * the tail's share of the step.
     */
    static StragglerPolicy hedgeTail() {
        return new TailStragglerPolicy();
    }
}
