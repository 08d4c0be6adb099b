package org.ebonyrun.core.hedge;

/** Hedges no call. Immutable and thread safe. */
public final class NoHedging implements Hedging {
    @Override
    public HedgeDecision decide(OpenCall call, long now) {
        return HedgeDecision.not(HedgeVerdict.NOT_YET, TargetHedging.delay(call));
    }
}
