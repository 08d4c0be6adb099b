package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;

/** Decides at which endpoint a sample runs. */
interface SamplePlacement {
    /**
     * Returns how many samples of this process may run at an endpoint at the same time.
     *
     * @param bestLatency the lowest time between two events at any endpoint of the service, in
     *     nanoseconds; zero if unknown
     */
    int concurrencyLimit(Endpoint endpoint, double bestLatency);

    /** Returns the cost of running a sample at an endpoint; the endpoint of least cost gets it. */
    double cost(Endpoint endpoint, SampleProgress sample, double bestLatency);

    /** Called when a sample was sent; the endpoint itself counts its active requests. */
    default void onSent(Endpoint endpoint) {}
}
