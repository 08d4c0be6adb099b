package org.ebonyrun.ports.store;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param outcome the outcome
 * @param revision the revision of the writes; zero unless committed
 * @param current the stored items of the keys with an expectation, without absent keys; empty
 *     unless in conflict
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
