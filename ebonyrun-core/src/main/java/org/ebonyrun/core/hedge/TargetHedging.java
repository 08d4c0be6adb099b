package org.ebonyrun.core.hedge;

import java.util.List;

/**
 * Hedges a call after half of its target latency, without a limit. Answers loads in which single
 * endpoints stall while the others have room.
 *
 * <p>Immutable and thread safe.
 */
public final class TargetHedging implements Hedging {
    private static final double TARGET_FRACTION = 0.5;

    static HedgeDelay delay(OpenCall call) {
        long nanos = (long) (TARGET_FRACTION * call.targetNanos());
        return new HedgeDelay(nanos, HedgeDelay.Source.TARGET, 0, 0);
    }

    @Override
    public HedgeDecision decide(OpenCall call, long now) {
        HedgeDelay delay = delay(call);
        boolean due =
                call.isIdempotent() && call.mayRunAgain() && now - call.sentAt() >= delay.nanos();
        return due
                ? new HedgeDecision(HedgeVerdict.SEND, delay, List.of(HedgeScope.ANY))
                : HedgeDecision.not(HedgeVerdict.NOT_YET, delay);
    }
}
