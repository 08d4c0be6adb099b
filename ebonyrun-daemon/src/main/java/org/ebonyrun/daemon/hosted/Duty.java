package org.ebonyrun.daemon.hosted;

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
}
