package org.ebonyrun.core.scaling;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedMap;
import java.util.SortedMap;
import org.ebonyrun.base.id.FailureDomain;

/**
 * The figures of a service from which its endpoints are ordered.
 *
 * <p>Immutable and thread safe.
 *
 * @param demand the number of places that the requests need
 * @param complete whether the demand is known in full and recent
 * @param slots the mean number of places of an endpoint
 * @param serving the number of serving endpoints in each failure domain
 */
public record ScalingFigures(
        double demand, boolean complete, double slots, SortedMap<FailureDomain, Integer> serving) {
    /** Checks the figures and copies the map. */
    public ScalingFigures {
        checkArgument(Double.isFinite(demand) && demand >= 0, "demand out of range: %s", demand);
        checkArgument(Double.isFinite(slots) && slots > 0, "slots out of range: %s", slots);
        serving = ImmutableSortedMap.copyOfSorted(serving);
    }
}
