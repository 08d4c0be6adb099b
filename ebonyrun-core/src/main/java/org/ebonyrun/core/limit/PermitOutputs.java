package org.ebonyrun.core.limit;

import org.ebonyrun.base.id.ServiceName;

/** Performs the I/O that a {@link PermitMachine} decides on. Called on its event loop. */
public interface PermitOutputs {
    /**
     * Reads the permits of a service; the read is linearizable. Ends with {@link
     * PermitMachine#onTable} or {@link PermitMachine#onRoundFailed}.
     */
    void readTable(ServiceName service);

    /**
     * Commits a change under the lease of this process. Ends with {@link
     * PermitMachine#onCommitted}, {@link PermitMachine#onConflict} or {@link
     * PermitMachine#onRoundFailed}.
     */
    void commit(ServiceName service, PermitChange change);

    /** Returns whether the lease to which the permits are attached certainly still exists. */
    boolean isLeaseValid(long now);

    /** Returns whether the shared store is available. */
    boolean isStoreAvailable();
}
