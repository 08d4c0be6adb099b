package org.ebonyrun.core.rollout;

/**
 * Decides when a slow sample gets a hedged attempt: a second attempt beside the first, of which the
 * one that finishes first is kept. Implementations are immutable and thread safe.
 */
@FunctionalInterface
public interface StragglerPolicy {
    /**
     * Returns whether to start a hedged attempt.
     *
     * @param ageMillis time since the slot was submitted, in milliseconds
     * @param medianMillis the step's median time from submission to finish, in milliseconds; zero
     *     if unknown
     * @param unfinished the number of the step's slots that are not finished
     * @param slots the number of all slots of the step
     */
    boolean shouldHedge(long ageMillis, long medianMillis, int unfinished, int slots);

    /** Returns the policy that never starts a hedged attempt. */
    static StragglerPolicy neverHedge() {
        return (ageMillis, medianMillis, unfinished, slots) -> false;
    }

    /**
     * Returns the policy that hedges samples in the tail of a step, its last unfinished samples,
     * when they have taken much longer than the median. Only the tail is hedged, so the tokens that
     * losing attempts waste are bounded by the tail's share of the step.
     */
    static StragglerPolicy hedgeTail() {
        return new TailStragglerPolicy();
    }
}
