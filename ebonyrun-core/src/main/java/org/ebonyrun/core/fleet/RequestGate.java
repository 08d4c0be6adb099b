package org.ebonyrun.core.fleet;

/**
 * Admits requests to an endpoint that limits how many it takes from all entries together.
 *
 * <p>Confined to the event loop that owns the fleet.
 */
public interface RequestGate {
    /** Returns whether a request may be sent now. */
    boolean admits(RequestKind kind, long now);

    /** Handles the sending of a request that was admitted. */
    void onSent(long now);

    /** Handles a request that waits until it is admitted. */
    void onWaiting(RequestKind kind, long now);

    /**
     * Returns the time until the next request is expected to be admitted, in nanoseconds; {@link
     * Long#MAX_VALUE} if none is expected.
     */
    long expectedWaitNanos(long now);

    /** Returns how many requests per second this process may currently send. */
    double admittedPerSecond();

    /** Returns how many requests per second this process gets if all that want some share alike. */
    double sharePerSecond();
}
