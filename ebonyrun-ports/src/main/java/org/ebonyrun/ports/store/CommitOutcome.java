package org.ebonyrun.ports.store;

/** The outcome of a transaction whose response arrived. */
public enum CommitOutcome {
    /** The transaction took effect. */
    COMMITTED,
    /** An expectation did not hold; nothing was written. */
    CONFLICT,
    /** The lease of a write has ended; nothing was written. */
    LEASE_ENDED
}
