package org.ebonyrun.core.call;

import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.hedge.Hedging;

/**
 * Measures how long the attempts of calls take, for their endpoints and for the rule for hedging.
 *
 * <p>Invariant: only open attempts are kept.
 *
 * <p>Not thread safe; confined to the event loop of its {@link CallMachine}.
 */
final class AttemptTimes {
    private final Hedging mHedging;
    private final Map<Long, Long> mSentTimes = new HashMap<>();

    AttemptTimes(Hedging hedging) {
        mHedging = hedging;
    }

    /** Returns the number of attempts that are kept. */
    int count() {
        return mSentTimes.size();
    }

    void onSent(long attempt, long now) {
        mSentTimes.put(attempt, now);
    }

    /** Forgets an attempt that has ended or was closed. */
    void onEnded(long attempt) {
        mSentTimes.remove(attempt);
    }

    /** Records the latencies of the attempts of a call that one of them has answered. */
    void onAnswered(PendingCall call, long attempt, Endpoint endpoint, long now) {
        // The latency of an endpoint that streams is the time between two events.
        if (!call.mStreaming) {
            boolean byItself = mHedging.timesEachAttempt();
            endpoint.recordLatency(byItself ? openNanos(attempt, now) : now - call.mSentAt, now);
        }
        if (!call.mSpec.route().isStream()) {
            tellHedging(call, endpoint, openNanos(attempt, now), now);
        }
        recordOpen(call, now);
    }

    /**
     * Records that the open attempts of a call take longer than until now, unless it is a stream.
     * What is only a lower bound counts where it is long.
     */
    void recordOpen(PendingCall call, long now) {
        if (call.mSpec.route().isStream()) {
            return;
        }
        call.mOpenAttempts.forEach(
                (attempt, endpoint) -> recordOpen(call, endpoint, openNanos(attempt, now), now));
    }

    private void recordOpen(PendingCall call, Endpoint endpoint, long openNanos, long now) {
        if (openNanos >= call.mHedgeDelayNanos) {
            tellHedging(call, endpoint, openNanos, now);
        }
        boolean longer = endpoint.latencyNanos() > 0 && openNanos > endpoint.latencyNanos();
        if (longer && mHedging.timesEachAttempt()) {
            endpoint.recordLatency(openNanos, now);
        }
    }

    private void tellHedging(PendingCall call, Endpoint endpoint, long nanos, long now) {
        mHedging.onLatency(call.mSpec.route().name(), call.mSpec.service(), endpoint, nanos, now);
    }

    private long openNanos(long attempt, long now) {
        return Math.max(0, now - mSentTimes.getOrDefault(attempt, now));
    }
}
