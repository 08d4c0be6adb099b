package org.ebonyrun.core.routing;

import java.util.List;
import java.util.Optional;

/** Chooses an endpoint for a call or a sample. Called only on the dispatch event loop. */
@FunctionalInterface
public interface EndpointChooser {
    /**
     * Chooses one of the candidates.
     *
     * @param candidates the usable endpoints of the work's service that have not refused the work
     *     and, for a sample, report that they would accept one; may be empty
     * @param now the monotonic time in nanoseconds
     * @return the choice; empty if there are no candidates
     */
    Optional<EndpointView> choose(Work work, List<EndpointView> candidates, long now);
}
