package org.ebonyrun.core.limit;

import java.util.List;

/**
 * The permits of a service's endpoints that are held, as read from the shared store.
 *
 * <p>Immutable and thread safe.
 *
 * @param permits the permits that processes hold
 * @param waiting the names of the processes that hold none and wait for one, in the order in which
 *     they began to wait
 */
public record PermitTable(List<Permit> permits, List<String> waiting) {
    /** Copies the lists. */
    public PermitTable {
        permits = List.copyOf(permits);
        waiting = List.copyOf(waiting);
    }
}
