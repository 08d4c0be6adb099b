package org.ebonyrun.core.lease;

/** Receives the key-value service's responses about leases. */
public interface LeaseListener {
    /** Handles the response to a request for a lease. */
    void onLeaseRecord(String key, LeaseRecord current, long now);

    /** Handles a request about a lease that got no response. */
    void onLeaseUnavailable(String key, long now);

    /** Handles the response to the renewal of a lease. */
    void onLeaseRenewed(String key, boolean granted, long now);
}
