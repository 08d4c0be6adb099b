package org.ebonyrun.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoints in turn, regardless of their load. A baseline for comparison.
 *
 * <p>Not thread safe; confined to the dispatch event loop.
 */
public final class RoundRobinChooser implements EndpointChooser {
    private long mNext;

    /** Creates a chooser that starts with the first endpoint. */
    public RoundRobinChooser() {}

    @Override
    public Optional<EndpointView> choose(Work work, List<EndpointView> candidates, long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int index = (int) Math.floorMod(mNext++, (long) candidates.size());
        return Optional.of(candidates.get(index));
    }
}
