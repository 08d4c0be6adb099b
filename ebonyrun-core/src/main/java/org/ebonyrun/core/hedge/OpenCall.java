package org.ebonyrun.core.hedge;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * A call with exactly one open attempt, as far as a decision on hedging needs it. The methods that
 * look at all endpoints or calls are called only after the delay has passed.
 *
 * <p>Confined to the event loop of its call machine.
 */
public interface OpenCall {
    /** Returns the name of the call's route. */
    String route();

    /** Returns the service that answers the call. */
    ServiceName service();

    /** Returns the endpoint of the open attempt. */
    Endpoint endpoint();

    /** Returns when the open attempt was sent. */
    long sentAt();

    /** Returns the target latency of the route, in nanoseconds. */
    long targetNanos();

    /** Returns whether no person waits for the answer. */
    boolean isBackground();

    /** Returns whether the call may run more than once, also at the same time. */
    boolean isIdempotent();

    /** Returns whether the route allows another attempt that may run. */
    boolean mayRunAgain();

    /** Returns whether the call has had a hedged attempt. */
    boolean wasHedged();

    /** Returns whether the call, or an equal one, has broken a connection to an endpoint. */
    boolean hasCrashed();

    /** Returns what this process uses of the service; some calls may have ended since. */
    ServiceUse use();
}
