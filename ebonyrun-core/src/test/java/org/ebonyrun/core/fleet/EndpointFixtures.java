package org.ebonyrun.core.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.route.WeightedService;

/** Creates endpoint records and routes for tests. */
public final class EndpointFixtures {
    /** The service of all records. */
    public static final ServiceName SERVICE = ServiceName.of("engines");

    /** The model of all records. */
    public static final String MODEL = "m";

    private EndpointFixtures() {}

    /** Returns the record of a serving endpoint. */
    public static EndpointRecord record(String id, int slots, int version) {
        return record(id, 0, slots, version, false);
    }

    /** Returns the record of an endpoint that may be draining. */
    public static EndpointRecord record(
            String id, long incarnation, int slots, int version, boolean leaving) {
        return record(id, incarnation, slots, version, leaving, "a");
    }

    /** Returns the record of a serving endpoint in a failure domain. */
    public static EndpointRecord record(String id, int slots, int version, String domain) {
        return record(id, 0, slots, version, false, domain);
    }

    /** Returns the record of a serving endpoint that runs a version of its software. */
    public static EndpointRecord recordWithSoftware(
            String id, int slots, int version, String software) {
        return record(id, 0, slots, version, false, "a", software);
    }

    /** Returns the record of a serving endpoint of a service. */
    public static EndpointRecord record(ServiceName service, String id, String software) {
        EndpointRecord record = recordWithSoftware(id, 8, 1, software);
        return new EndpointRecord(
                id,
                record.incarnation(),
                service,
                record.address(),
                record.domain(),
                record.slots(),
                record.leaving(),
                record.versions(),
                software);
    }

    private static EndpointRecord record(
            String id, long incarnation, int slots, int version, boolean leaving, String domain) {
        return record(id, incarnation, slots, version, leaving, domain, "");
    }

    private static EndpointRecord record(
            String id,
            long incarnation,
            int slots,
            int version,
            boolean leaving,
            String domain,
            String software) {
        return new EndpointRecord(
                id,
                incarnation,
                SERVICE,
                InetSocketAddress.createUnresolved("10.0.0.1", 80),
                FailureDomain.of(domain),
                slots,
                leaving,
                Map.of(MODEL, version),
                software);
    }

    /** Returns a route to {@link #SERVICE}. */
    public static Route route(RouteKind kind, CallOptions call, StepOptions step) {
        return new Route("r", "x", "/", kind, List.of(new WeightedService(SERVICE, 1)), call, step);
    }
}
