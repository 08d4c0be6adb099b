package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.hedge.HedgeDecision;
import org.ebonyrun.core.hedge.HedgeDelay;

/**
 * Logs and counts the decisions on hedged attempts, and whether these answered their calls.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class HedgeLog {
    private final HostedContext mContext;

    HedgeLog(HostedContext context) {
        mContext = context;
    }

    /** Handles a decision on a call whose first attempt has been open for a time. */
    void onDecided(CallSpec call, HedgeDecision decision, long openNanos) {
        String verdict = decision.verdict().name();
        mContext.metrics().count(EntryMetrics.HEDGES, verdict);
        HedgeDelay delay = decision.delay();
        mContext.log()
                .write(
                        LogLine.of("call.hedge")
                                .with("request", call.requestId())
                                .with("service", call.service())
                                .with("verdict", verdict)
                                .with("open_ms", Nanos.toMillis(openNanos))
                                .with("delay_ms", Nanos.toMillis(delay.nanos()))
                                .with("delay_from", delay.source())
                                .with("observations", delay.observations())
                                .with("age_ms", Nanos.toMillis(delay.ageNanos())));
    }

    /** Handles the end of a call that had a hedged attempt. */
    void onEnded(boolean won) {
        mContext.metrics().count(EntryMetrics.HEDGES, won ? "WON" : "LOST");
    }
}
