package org.ebonyrun.core.lease;

/** A state machine that holds leases and hears what the key-value service says of them. */
public interface LeaseListener {
    /** Handles the answer to taking a lease. */
    void onLeaseRecord(String key, LeaseRecord reading, long now);

    /** Handles the absence of an answer about a lease. */
    void onLeaseUnavailable(String key, long now);

    /** Handles the answer to extending a lease. */
    void onLeaseRenewed(String key, boolean granted, long now);
}
