package org.ebonyrun.core.hedge;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Decides when a slow call gets a hedged attempt, and learns from the ends of attempts.
 *
 * <p>Not thread safe; confined to the event loop of its call machine.
 */
public interface Hedging {
    /** Decides on a call whose only attempt is still open. */
    HedgeDecision decide(OpenCall call, long now);

    /**
     * Returns whether the latency of an endpoint is measured for each attempt by itself, also for
     * one that was ended because another attempt was answered. Otherwise the time since the latest
     * attempt of the call is taken, and only for the attempt that was answered.
     */
    default boolean timesEachAttempt() {
        return false;
    }

    /** Handles the sending of the hedged attempt on which was decided last. */
    default void onHedgeSent() {}

    /**
     * Handles an attempt that was answered, or that was ended because another attempt of its call
     * was answered.
     *
     * @param nanos the time from the sending to the end of the attempt
     */
    default void onLatency(
            String route, ServiceName service, Endpoint endpoint, long nanos, long now) {}

    /** Handles an attempt that an endpoint rejected. */
    default void onRejected(ServiceName service, long now) {}

    /** Handles a call that was answered. */
    default void onCallAnswered() {}
}
