package org.ebonyrun.core.route;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.id.ServiceName;

/**
 * A service and its share of a route's requests.
 *
 * @param service the service
 * @param weight the share, relative to the weights of the route's other services
 */
public record WeightedService(ServiceName service, int weight) {
    /** Checks that the weight is not negative. */
    public WeightedService {
        checkArgument(weight >= 0, "weight of %s is negative: %s", service, weight);
    }
}
