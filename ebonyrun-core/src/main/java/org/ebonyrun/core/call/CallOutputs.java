package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;

/** Carries out what a {@link CallMachine} decides. Called on the machine's thread. */
public interface CallOutputs {
    /** Sends a call to an endpoint, with the time that is left. */
    void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis);

    /** Closes the connection of an attempt whose answer is not needed any more. */
    void cancel(long attempt);

    /** Gives the caller the answer of an attempt. */
    void deliver(CallSpec call, long attempt);

    /** Tells the caller that the call did not run and when to come back. */
    void refuse(CallSpec call, long retryAfterMillis, String reason);

    /** Tells the caller that the outcome is unknown, or that the time is up. */
    void fail(CallSpec call, boolean timeout, String reason);
}
