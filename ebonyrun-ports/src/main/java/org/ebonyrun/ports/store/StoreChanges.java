package org.ebonyrun.ports.store;

import java.util.List;

/**
 * The answer to a watch.
 *
 * @param changes what changed, oldest first; empty if nothing did
 * @param revision the revision from which the next watch continues
 * @param historyGone whether the store no longer knows the changes; the keys must be read again
 */
public record StoreChanges(List<StoreChange> changes, long revision, boolean historyCompacted) {
    /** Copies the changes. */
    public StoreChanges {
        changes = List.copyOf(changes);
    }

    /** Returns the answer of a store that no longer knows what changed. */
    public static StoreChanges ofCompactedHistory() {
        return new StoreChanges(List.of(), 0, true);
    }
}
