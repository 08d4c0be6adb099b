package org.ebonyrun.core.rollout;

/** Repeats slow samples in the tail of a step. Immutable and thread safe. */
final class TailStragglerPolicy implements StragglerPolicy {
    private static final double TAIL_SHARE = 0.1;
    private static final double SLOWNESS = 1.5;

    @Override
    public boolean shouldHedge(long ageMillis, long typicalMillis, int unfinished, int slots) {
        boolean inTail = unfinished <= Math.max(1, slots * TAIL_SHARE);
        return inTail && typicalMillis > 0 && ageMillis > typicalMillis * SLOWNESS;
    }
}
