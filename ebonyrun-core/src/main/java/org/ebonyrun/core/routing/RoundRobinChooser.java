package org.ebonyrun.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Takes the endpoints in turn, whatever their load; a baseline for comparison.
 *
 * <p>Not thread safe; confined to the dispatch duty.
 */
public final class RoundRobinChooser implements EndpointChooser {
    private long mNext;

    /** Creates a chooser that begins with the first endpoint. */
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
