package org.ebonyrun.core.workspace;

import java.util.OptionalInt;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.core.route.Route;

/**
 * A workspace, as the operator configured it.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the name
 * @param priority the priority of its calls, zero being the highest; empty for the route's
 */
public record Workspace(WorkspaceName name, OptionalInt priority) {
    /** Returns a route as it applies to the calls of this workspace. */
    public Route applyTo(Route route) {
        return priority.isPresent() ? route.withPriority(priority.getAsInt()) : route;
    }
}
