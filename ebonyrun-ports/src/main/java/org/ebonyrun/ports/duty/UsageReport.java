package org.ebonyrun.ports.duty;

import com.google.common.collect.ImmutableSortedMap;
import java.util.SortedMap;
import org.ebonyrun.base.id.WorkspaceName;

/**
 * The requests of each workspace that began to run in one window of time.
 *
 * <p>Immutable and thread safe.
 *
 * @param window the number of the window; window k begins k window lengths after the epoch
 * @param counts the number of requests of each workspace
 */
public record UsageReport(long window, SortedMap<WorkspaceName, Long> counts) {
    /** Copies the counts. */
    public UsageReport {
        counts = ImmutableSortedMap.copyOfSorted(counts);
    }
}
