package org.ebonyrun.core.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.ebonyrun.base.id.ServiceName;

/**
 * A route: the requests that it matches, the services that handle them, and how.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the name of the route
 * @param host the host of the requests that the route matches, in lower case
 * @param prefix the prefix of the paths that the route matches
 * @param kind what kind of requests the route takes, and whether they may run more than once
 * @param services the services that handle the requests, at least one
 * @param call the settings for calls
 * @param step the settings for steps
 * @param isPublic whether calls need no key
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<WeightedService> services,
        CallOptions call,
        StepOptions step,
        boolean isPublic) {
    /** Copies the services and checks that there is at least one. */
    public Route {
        services = List.copyOf(services);
        checkArgument(!services.isEmpty(), "route '%s' has no service", name);
    }

    /** Creates a route whose calls need a key if the configuration has workspaces. */
    public Route(
            String name,
            String host,
            String prefix,
            RouteKind kind,
            List<WeightedService> services,
            CallOptions call,
            StepOptions step) {
        this(name, host, prefix, kind, services, call, step, false);
    }

    /** Returns this route with another priority of its calls. */
    public Route withPriority(int priority) {
        CallOptions options =
                new CallOptions(
                        call.timeoutMillis(),
                        call.targetLatencyMillis(),
                        call.maxAttempts(),
                        priority);
        return new Route(name, host, prefix, kind, services, options, step, isPublic);
    }

    /** Returns a service chosen at random in proportion to the weights. */
    public ServiceName pickService(RandomGenerator random) {
        int totalWeight = services.stream().mapToInt(WeightedService::weight).sum();
        if (totalWeight <= 0) {
            return services.get(0).service();
        }
        int remaining = random.nextInt(totalWeight);
        for (WeightedService weighted : services) {
            remaining -= weighted.weight();
            if (remaining < 0) {
                return weighted.service();
            }
        }
        return services.get(0).service();
    }

    /** Returns the names of the services. */
    public Set<ServiceName> serviceNames() {
        return services.stream().map(WeightedService::service).collect(Collectors.toSet());
    }

    /** Returns whether the response to a call is a stream of events. */
    public boolean isStream() {
        return kind == RouteKind.STREAM || kind == RouteKind.RESUMABLE_STREAM;
    }

    /** Returns whether a call that an endpoint may have run may be sent to another one. */
    public boolean mayRepeat() {
        return isIdempotent() || kind == RouteKind.RESUMABLE_STREAM;
    }

    /** Returns whether calls may run more than once, also at the same time. */
    public boolean isIdempotent() {
        return kind == RouteKind.IDEMPOTENT;
    }
}
