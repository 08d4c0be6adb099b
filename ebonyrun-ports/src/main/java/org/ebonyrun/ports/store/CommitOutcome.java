package org.ebonyrun.ports.store;

/** How the store answered a transaction whose answer arrived. */
public enum CommitOutcome {
    /** It took effect. */
    COMMITTED,
    /** An expectation did not hold; nothing was written. */
    CONFLICT,
    /** The lease of a write has ended; nothing was written. */
    LEASE_ENDED
}
