package org.ebonyrun.core.swap;

import java.util.Map;

/**
 * What a model engine reports of itself.
 *
 * @param versions the weight version of each model
 * @param busy whether an order is being carried out
 * @param orders how many orders it has accepted since its start
 */
public record EndpointState(Map<String, Integer> versions, boolean busy, long acceptedOrders) {
    /** Copies the versions. */
    public EndpointState {
        versions = Map.copyOf(versions);
    }
}
