package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;

/** Says at which endpoint a call should run. */
public interface CallPlacement {
    /**
     * Returns how many calls of this process an endpoint may have.
     *
     * @param background whether the next one is a background call
     */
    int concurrencyLimit(Endpoint endpoint, boolean background);

    /**
     * Returns what it costs to send a call to an endpoint; the least costly one gets it.
     *
     * @param tried whether the call was sent there before
     * @param now the time, in nanoseconds of the monotonic clock
     */
    double cost(Endpoint endpoint, boolean tried, long now);

    /**
     * Returns how many calls an endpoint may have if background calls get a part of its slots.
     *
     * @param backgroundShare the part that background calls may use
     */
    static int concurrencyLimit(Endpoint endpoint, boolean background, double backgroundShare) {
        int slots = endpoint.record().slots();
        return background ? (int) Math.ceil(backgroundShare * slots) : slots;
    }

    /** Notes that a call was sent to an endpoint, which itself counts what it has. */
    default void onSent(Endpoint endpoint) {}
}
