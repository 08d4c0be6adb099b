package org.ebonyrun.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.workspace.Workspaces;

/**
 * One version of the operator's configuration of routes and workspaces. Among the matching routes
 * of a host, the one with the longest prefix takes precedence.
 *
 * <p>Immutable and thread safe.
 */
public final class RouteTable {
    private static final RouteTable EMPTY =
            new RouteTable(
                    0,
                    List.of(),
                    Set.of(),
                    new CallerLimits(16_384, 32 << 20, 5_000, 30_000),
                    Workspaces.none());

    private final long mVersion;
    private final Map<String, List<Route>> mByHost = new HashMap<>();
    private final Set<ServiceName> mEngines;
    private final CallerLimits mLimits;
    private final Workspaces mWorkspaces;
    private final int mSize;

    private RouteTable(
            long version,
            List<Route> routes,
            Set<ServiceName> engines,
            CallerLimits limits,
            Workspaces workspaces) {
        mVersion = version;
        mEngines = Set.copyOf(engines);
        mLimits = limits;
        mWorkspaces = workspaces;
        mSize = routes.size();
        for (Route route : routes) {
            mByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> -route.prefix().length());
        mByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /** Returns the table of a process that has not received a configuration yet. */
    public static RouteTable empty() {
        return EMPTY;
    }

    /**
     * Creates a table.
     *
     * @param version the version of the configuration, positive
     * @param routes the routes
     * @param engines the services whose endpoints are model engines
     * @param limits the limits for callers
     */
    public static RouteTable of(
            long version, List<Route> routes, Set<ServiceName> engines, CallerLimits limits) {
        return of(version, routes, engines, limits, Workspaces.none());
    }

    /** Creates a table as above of a configuration with workspaces. */
    public static RouteTable of(
            long version,
            List<Route> routes,
            Set<ServiceName> engines,
            CallerLimits limits,
            Workspaces workspaces) {
        return new RouteTable(version, routes, engines, limits, workspaces);
    }

    /** Returns the version; zero if no configuration has been received. */
    public long version() {
        return mVersion;
    }

    /** Returns whether a configuration has been received. */
    public boolean isConfigured() {
        return mVersion > 0;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns the workspaces. */
    public Workspaces workspaces() {
        return mWorkspaces;
    }

    /** Returns the number of routes. */
    public int size() {
        return mSize;
    }

    /** Returns whether the endpoints of a service are model engines. */
    public boolean isEngine(ServiceName service) {
        return mEngines.contains(service);
    }

    /**
     * Finds the route that matches a request.
     *
     * @param host the host, with or without a port
     * @param path the path without its query
     */
    public Optional<Route> find(String host, String path) {
        List<Route> routes = mByHost.get(normalize(host));
        if (routes == null) {
            return Optional.empty();
        }
        for (Route route : routes) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalize(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
