package org.ebonyrun.core.lease;

/** The state of a lease, as one process sees it. */
public enum LeaseState {
    /** The holder is unknown; the lease has to be requested before acting. */
    UNKNOWN,
    /** A request for the lease is in progress. */
    ASKING,
    /** This process holds the lease. */
    HELD,
    /** Another process holds the lease. */
    OTHER
}
