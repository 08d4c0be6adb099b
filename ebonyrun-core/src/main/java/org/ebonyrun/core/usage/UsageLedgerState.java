package org.ebonyrun.core.usage;

import com.google.common.collect.ImmutableSortedMap;
import java.util.SortedMap;
import org.ebonyrun.base.id.WorkspaceName;

/**
 * What holders have fixed so far.
 *
 * <p>Immutable and thread safe.
 *
 * @param nextWindow the first window whose counts are not fixed
 * @param unanswered by window, the fixed counts that the platform may not have yet
 */
public record UsageLedgerState(
        long nextWindow, SortedMap<Long, SortedMap<WorkspaceName, Long>> unanswered) {
    /** Copies the counts. */
    public UsageLedgerState {
        ImmutableSortedMap.Builder<Long, SortedMap<WorkspaceName, Long>> copy =
                ImmutableSortedMap.naturalOrder();
        unanswered.forEach(
                (window, counts) -> copy.put(window, ImmutableSortedMap.copyOfSorted(counts)));
        unanswered = copy.build();
    }
}
