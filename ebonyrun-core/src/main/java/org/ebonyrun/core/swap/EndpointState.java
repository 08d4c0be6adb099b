package org.ebonyrun.core.swap;

import java.util.Map;

/**
 * The state that a model engine reports.
 *
 * @param versions the weight version of each model
 * @param busy whether the engine is carrying out an order
 * @param acceptedOrders the number of orders that the engine has accepted since its start
 * @param incarnation when the engine started, in Unix milliseconds; zero if not reported
 */
public record EndpointState(
        Map<String, Integer> versions, boolean busy, long acceptedOrders, long incarnation) {
    /** Copies the versions. */
    public EndpointState {
        versions = Map.copyOf(versions);
    }
}
