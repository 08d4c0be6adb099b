package org.ebonyrun.ports.duty;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;

/**
 * The number of endpoints of a service that the platform keeps in a failure domain.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service
 * @param domain the failure domain
 * @param count the number of endpoints
 */
public record EndpointTarget(ServiceName service, FailureDomain domain, int count) {
    /** Checks the number. */
    public EndpointTarget {
        checkArgument(count >= 0, "count %s is negative", count);
    }
}
