package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;

/** Chooses the endpoint of a call by a concurrency limit and a cost for each endpoint. */
public interface CallPlacement {
    /**
     * Returns how many calls of this process may run on an endpoint at a time.
     *
     * @param background whether the call to be placed is a background call
     */
    int concurrencyLimit(Endpoint endpoint, boolean background);

    /**
     * Returns the cost of sending a call to an endpoint. The call goes to the endpoint with the
     * lowest cost.
     *
     * @param tried whether the call was already sent to this endpoint
     * @param now the time, in nanoseconds of the monotonic clock
     */
    double cost(Endpoint endpoint, boolean tried, long now);

    /**
     * Returns the concurrency limit of an endpoint on which background calls may use only a part of
     * the slots.
     *
     * @param backgroundShare the fraction of the slots that background calls may use
     */
    static int concurrencyLimit(Endpoint endpoint, boolean background, double backgroundShare) {
        int slots = endpoint.record().slots();
        return background ? (int) Math.ceil(backgroundShare * slots) : slots;
    }

    /**
     * Handles the sending of a call to an endpoint. Implementations need not count open calls; the
     * endpoint does.
     */
    default void onSent(Endpoint endpoint) {}
}
