package org.ebonyrun.core.lease;

/** Sends requests about leases to the key-value service. Called on the owner's event loop. */
public interface LeaseOutputs {
    /** Requests the lease if it is free; the holder then comes back as an event. */
    void acquire(String key);

    /** Renews the lease; the outcome comes back as an event. */
    void renew(String key, long revision);
}
