package org.ebonyrun.daemon.hosted;

import org.ebonyrun.ports.store.StoreItem;

/**
 * The owner key of a step as a process wrote it.
 *
 * @param revision its revision, which fences the writes of the owner
 * @param lease the lease that it is attached to
 */
record OwnerKey(long revision, long lease) {
    /** Returns the owner key that is stored as an item. */
    static OwnerKey of(StoreItem item) {
        return new OwnerKey(item.revision(), item.lease());
    }

    /** Returns the newer one of two owner keys of the same step. */
    OwnerKey newer(OwnerKey other) {
        return other.revision > revision ? other : this;
    }
}
