package org.ebonyrun.core.route;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.id.ServiceName;

/**
 * A service and its part of a route's requests.
 *
 * @param service the service
 * @param weight its part, relative to the other services of the route
 */
public record WeightedService(ServiceName service, int weight) {
    /** Checks the weight. */
    public WeightedService {
        checkArgument(weight >= 0, "weight of %s is negative: %s", service, weight);
    }
}
