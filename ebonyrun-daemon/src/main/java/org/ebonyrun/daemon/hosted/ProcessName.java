package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.id.VmId;

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
        return owner.startsWith(vm + SEPARATOR) && !owner.equals(text());
    }

    /** Returns the form that is stored. */
    String text() {
        return vm + SEPARATOR + Long.toHexString(incarnation);
    }
}
