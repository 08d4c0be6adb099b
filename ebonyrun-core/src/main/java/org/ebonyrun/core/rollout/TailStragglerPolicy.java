package org.ebonyrun.core.rollout;

/** Hedges slow samples in the tail of a step. Immutable and thread safe. */
final class TailStragglerPolicy implements StragglerPolicy {
    // Fraction of the step's slots that form its tail; the tail has at least one slot.
    private static final double TAIL_FRACTION = 0.1;
    // Multiple of the median duration above which a sample counts as slow.
    private static final double SLOW_FACTOR = 1.5;

    @Override
    public boolean shouldHedge(long ageMillis, long medianMillis, int unfinished, int slots) {
        boolean inTail = unfinished <= Math.max(1, slots * TAIL_FRACTION);
        return inTail && medianMillis > 0 && ageMillis > medianMillis * SLOW_FACTOR;
    }
}
