package org.ebonyrun.core.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.id.ServiceName;

/**
 * One route.
 *
 * <p>Immutable and thread safe.
 *
 * @param name its name
 * @param host the host whose requests it takes, in lower case
 * @param prefix the beginning of the paths that it takes
 * @param kind what may be done with its requests
 * @param services the services that answer, at least one
 * @param call how calls are treated
 * @param step how steps are treated
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<WeightedService> services,
        CallOptions call,
        StepOptions step) {
    /** Checks that a service answers. */
    public Route {
        services = List.copyOf(services);
        checkArgument(!services.isEmpty(), "route '%s' has no service", name);
    }

    /** Returns a service, chosen by the weights. */
    public ServiceName pickService(RandomGenerator random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        int ticket = random.nextInt(total);
        for (WeightedService part : services) {
            ticket -= part.weight();
            if (ticket < 0) {
                return part.service();
            }
        }
        return services.get(0).service();
    }

    /** Returns whether an idempotent call may be sent again. */
    public boolean isIdempotent() {
        return kind == RouteKind.IDEMPOTENT;
    }
}
