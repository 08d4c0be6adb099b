package org.ebonyrun.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.util.Map;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;

/**
 * The record that an endpoint publishes about itself.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the endpoint's ID
 * @param incarnation when the endpoint started, in Unix milliseconds; zero if not reported
 * @param service the service that the endpoint belongs to
 * @param address the address on which the endpoint listens
 * @param domain the failure domain in which the endpoint runs
 * @param slots the number of requests that the endpoint runs at a time
 * @param leaving whether the endpoint is draining and takes no new work
 * @param versions the weight version of each model that the endpoint serves
 * @param software the version of the software that the endpoint runs; empty if not reported
 */
public record EndpointRecord(
        String id,
        long incarnation,
        ServiceName service,
        InetSocketAddress address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        Map<String, Integer> versions,
        String software) {
    /** Checks that there are slots, and copies the versions. */
    public EndpointRecord {
        checkArgument(slots > 0, "endpoint %s has %s slots", id, slots);
        versions = Map.copyOf(versions);
    }

    /** Returns a name of this incarnation; the ID alone if the incarnation is not reported. */
    public String lifeName() {
        return incarnation == 0 ? id : id + "@" + incarnation;
    }
}
