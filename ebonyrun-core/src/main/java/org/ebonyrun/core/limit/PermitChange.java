package org.ebonyrun.core.limit;

import java.util.List;

/**
 * A change of what a process holds in a {@link PermitTable}. It takes effect as a whole, or not at
 * all if any permit to acquire is held or any permit to release is not held as stated.
 *
 * <p>Immutable and thread safe.
 *
 * @param acquired the permits to acquire; their revisions are zero
 * @param released the permits to release
 * @param waiting whether the process waits for a permit after the change
 */
public record PermitChange(List<Permit> acquired, List<Permit> released, boolean waiting) {
    /** Copies the lists. */
    public PermitChange {
        acquired = List.copyOf(acquired);
        released = List.copyOf(released);
    }
}
