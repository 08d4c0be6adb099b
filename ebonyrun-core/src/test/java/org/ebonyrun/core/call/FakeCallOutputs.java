package org.ebonyrun.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.hedge.HedgeDecision;
import org.ebonyrun.core.hedge.HedgeVerdict;

/** Records the actions that a {@link CallMachine} decides on. */
final class FakeCallOutputs implements CallOutputs {
    /** An attempt that was sent. */
    record Sent(long call, long attempt, String endpoint, long leftMillis) {}

    final List<Sent> mSent = new ArrayList<>();
    boolean mCanGoOn = true;
    final List<Long> mCancelled = new ArrayList<>();
    final Map<Long, String> mOutcomes = new HashMap<>();
    final Map<Long, Integer> mOutcomeCounts = new HashMap<>();
    final Map<Long, Long> mRetryAfterMillis = new HashMap<>();

    final List<HedgeVerdict> mHedgeVerdicts = new ArrayList<>();
    // Whether each hedged attempt answered its call.
    final List<Boolean> mHedgeEnds = new ArrayList<>();

    Sent last() {
        return mSent.get(mSent.size() - 1);
    }

    private void end(CallSpec call, String outcome) {
        mOutcomes.put(call.id(), outcome);
        mOutcomeCounts.merge(call.id(), 1, Integer::sum);
    }

    @Override
    public void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis) {
        mSent.add(new Sent(call.id(), attempt, endpoint.id(), leftMillis));
    }

    @Override
    public boolean canGoOn(CallSpec call) {
        return mCanGoOn;
    }

    @Override
    public void cancel(long attempt) {
        mCancelled.add(attempt);
    }

    @Override
    public void deliver(CallSpec call, long attempt) {
        end(call, "delivered " + attempt);
    }

    @Override
    public void refuse(CallSpec call, long retryAfterMillis, String reason) {
        end(call, "refused");
        mRetryAfterMillis.put(call.id(), retryAfterMillis);
    }

    @Override
    public void refuseKey(CallSpec call) {
        end(call, "key refused");
    }

    @Override
    public void fail(CallSpec call, boolean timeout, String reason) {
        end(call, timeout ? "timeout" : "failed");
    }

    @Override
    public void onHedgeDecided(CallSpec call, HedgeDecision decision, long openNanos) {
        mHedgeVerdicts.add(decision.verdict());
    }

    @Override
    public void onHedgeEnded(CallSpec call, boolean won) {
        mHedgeEnds.add(won);
    }
}
