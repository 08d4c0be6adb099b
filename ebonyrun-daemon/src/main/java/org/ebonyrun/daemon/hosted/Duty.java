package org.ebonyrun.daemon.hosted;

import org.ebonyrun.ports.store.Transaction;

/**
 * Work that one entry does on behalf of all, as long as it holds the duties.
 *
 * <p>Confined to the entry's event loop.
 */
interface Duty {
    /** Handles that this entry has become the holder. */
    void onAcquired(DutyTerm term, long now);

    /** Handles that this entry is no longer the holder; it makes no call under the term after. */
    void onReleased();

    /** Performs what is due; called only while this entry is the holder and its lease is valid. */
    void onTick(long now);

    /**
     * Adds what the next holder needs to know to the transaction that may hand the role over;
     * called before {@link #onReleased}.
     */
    default void addHandOver(Transaction.Builder handOver) {}
}
