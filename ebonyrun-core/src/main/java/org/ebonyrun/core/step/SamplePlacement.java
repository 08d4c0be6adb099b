package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;

/** Says at which endpoint a sample should run. */
interface SamplePlacement {
    /**
     * Returns how many samples of this process an endpoint may have.
     *
     * @param bestPace the best time between two events at an endpoint of the service, in
     *     nanoseconds; zero if unknown
     */
    int concurrencyLimit(Endpoint endpoint, double bestPace);

    /** Returns what it costs to run a sample at an endpoint; the least costly one gets it. */
    double cost(Endpoint endpoint, SampleProgress sample, double bestPace);

    /** Notes that a sample was sent to an endpoint, which itself counts what it has. */
    default void onSent(Endpoint endpoint) {}
}
