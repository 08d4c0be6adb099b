package org.ebonyrun.daemon.hosted;

import java.util.OptionalLong;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Identifies a process in the keys of the shared store that it owns.
 *
 * @param vm the VM on which the process runs
 * @param incarnation distinguishes the processes of one VM from each other
 */
record ProcessName(VmId vm, long incarnation) {
    private static final String SEPARATOR = "/";

    /** Returns whether {@code owner} names an earlier process of the same VM. */
    boolean isSuccessorOf(String owner) {
        return owner.startsWith(vm + SEPARATOR) && !owner.equals(format());
    }

    /**
     * Returns the revision to expect when this process claims an ownership key: {@link
     * Transaction#ABSENT} if the key has no holder, the holder's revision if the holder was an
     * earlier process of the same VM, and empty if the key may not be claimed.
     *
     * @param holder the value of the key; null if the key is absent
     * @param revision the revision of the key
     */
    OptionalLong expectedRevision(@Nullable String holder, long revision) {
        if (holder == null) {
            return OptionalLong.of(Transaction.ABSENT);
        }
        return isSuccessorOf(holder) ? OptionalLong.of(revision) : OptionalLong.empty();
    }

    /** Returns the form that is stored as the value of a key. */
    String format() {
        return vm + SEPARATOR + Long.toHexString(incarnation);
    }
}
