package org.ebonyrun.ports.store;

import java.util.List;

/**
 * The answer to a transaction.
 *
 * @param outcome what happened
 * @param revision the revision of the writes; zero unless committed
 * @param current the expected keys as they are, those that exist; empty unless in conflict
 */
public record CommitResult(CommitOutcome outcome, long revision, List<StoreItem> current) {
    /** Copies the items. */
    public CommitResult {
        current = List.copyOf(current);
    }

    /** Returns whether the transaction took effect. */
    public boolean isCommitted() {
        return outcome == CommitOutcome.COMMITTED;
    }
}
