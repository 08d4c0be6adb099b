package org.ebonyrun.daemon.hosted;

import java.util.OptionalLong;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Names one process of one VM in keys of the shared store.
 *
 * @param vm the VM
 * @param incarnation differs for each process of that VM
 */
record ProcessName(VmId vm, long incarnation) {
    private static final String SEPARATOR = "/";

    /** Returns whether {@code owner} names an earlier process of the same VM. */
    boolean isSuccessorOf(String owner) {
        return owner.startsWith(vm + SEPARATOR) && !owner.equals(format());
    }

    /**
     * Returns the revision that a key must have for this process to take it: absent if nobody holds
     * it, that of the holder if the holder was an earlier process of the same VM; empty if it may
     * not be taken.
     */
    OptionalLong expectedRevision(@Nullable String holder, long revision) {
        if (holder == null) {
            return OptionalLong.of(Transaction.ABSENT);
        }
        return isSuccessorOf(holder) ? OptionalLong.of(revision) : OptionalLong.empty();
    }

    /** Returns the form that is stored. */
    String format() {
        return vm + SEPARATOR + Long.toHexString(incarnation);
    }
}
