package org.ebonyrun.core.routing;

import java.util.List;
import java.util.Optional;

/** Chooses an endpoint for a piece of work. Called on the dispatch duty only. */
@FunctionalInterface
public interface EndpointChooser {
    /**
     * Chooses one of the candidates.
     *
     * @param candidates usable endpoints of the work's service that have not refused it yet and
     *     have room for it; may be empty
     * @param now the monotonic time in nanoseconds
     */
    Optional<EndpointView> choose(Work work, List<EndpointView> candidates, long now);
}
