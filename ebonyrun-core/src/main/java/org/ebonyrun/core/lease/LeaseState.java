package org.ebonyrun.core.lease;

/** What a process knows of a lease. */
public enum LeaseState {
    /** Nothing is known; ask before acting. */
    UNKNOWN,
    /** A request to the key-value service is under way. */
    ASKING,
    /** This process holds the lease. */
    HELD,
    /** Another process holds the lease. */
    OTHER
}
