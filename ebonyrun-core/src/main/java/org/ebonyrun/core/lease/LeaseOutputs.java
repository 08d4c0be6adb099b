package org.ebonyrun.core.lease;

/** Requests to the key-value service about one lease. Called on the owner's duty. */
public interface LeaseOutputs {
    /** Takes the lease if it is free; the reading comes back as an event. */
    void acquire(String key);

    /** Extends the lease; the outcome comes back as an event. */
    void renew(String key, long revision);
}
