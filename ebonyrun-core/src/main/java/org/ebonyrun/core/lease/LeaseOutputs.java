package org.ebonyrun.core.lease;

/** Sends requests about leases to the key-value service. Called on the owner's event loop. */
public interface LeaseOutputs {
    /** Requests the lease, which is granted if it is free; its holder arrives as an event. */
    void acquire(String key);

    /** Renews the lease; the outcome arrives as an event. */
    void renew(String key, long revision);
}
