package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.hedge.HedgeDecision;

/** Performs the actions that a {@link CallMachine} decides on. Called on the machine's thread. */
public interface CallOutputs {
    /**
     * Sends a call to an endpoint.
     *
     * @param leftMillis the time until the call's deadline, in milliseconds
     */
    void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis);

    /**
     * Returns whether another endpoint can go on with a call whose response stream broke off. The
     * next attempt of the call then continues the response.
     */
    default boolean canGoOn(CallSpec call) {
        return false;
    }

    /**
     * Reports a decision on a second attempt of a slow call; each verdict at most once for a call.
     *
     * @param openNanos how long the first attempt had been open
     */
    default void onHedgeDecided(CallSpec call, HedgeDecision decision, long openNanos) {}

    /**
     * Reports the end of a call that had a hedged attempt.
     *
     * @param won whether the hedged attempt answered the call
     */
    default void onHedgeEnded(CallSpec call, boolean won) {}

    /** Closes the connection of an attempt whose response is no longer needed. */
    void cancel(long attempt);

    /** Passes the response of an attempt to the caller. */
    void deliver(CallSpec call, long attempt);

    /**
     * Responds to the caller that the call did not run and when to retry it.
     *
     * @param reason the reason, for the log
     */
    void refuse(CallSpec call, long retryAfterMillis, String reason);

    /** Responds to the caller that its key was withdrawn or moved. The call did not run. */
    void refuseKey(CallSpec call);

    /**
     * Responds to the caller that the call failed and may have run.
     *
     * @param timeout whether the deadline has passed
     * @param reason the reason, for the log
     */
    void fail(CallSpec call, boolean timeout, String reason);
}
