package org.ebonyrun.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.util.Map;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;

/**
 * What an endpoint says of itself.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the endpoint's id
 * @param incarnation when it started, in Unix milliseconds; zero if it does not say
 * @param service the service that it belongs to
 * @param address where it listens
 * @param domain where it runs
 * @param slots how many requests it runs at a time
 * @param leaving whether it takes no new work
 * @param versions the weight version of each model that it serves
 */
public record EndpointRecord(
        String id,
        long incarnation,
        ServiceName service,
        InetSocketAddress address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        Map<String, Integer> versions) {
    /** Checks the slots. */
    public EndpointRecord {
        checkArgument(slots > 0, "endpoint %s has %s slots", id, slots);
        versions = Map.copyOf(versions);
    }
}
