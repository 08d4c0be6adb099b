package org.ebonyrun.ports.store;

import java.util.List;

/**
 * The result of a watch.
 *
 * @param changes the changes, oldest first; empty if there were none
 * @param revision the revision from which the next watch continues
 * @param historyCompacted whether the store has compacted the history of the changes, so that the
 *     keys must be read again
 */
public record StoreChanges(List<StoreChange> changes, long revision, boolean historyCompacted) {
    /** Copies the changes. */
    public StoreChanges {
        changes = List.copyOf(changes);
    }

    /** Returns the result of a watch whose history the store has compacted. */
    public static StoreChanges ofCompactedHistory() {
        return new StoreChanges(List.of(), 0, true);
    }
}
