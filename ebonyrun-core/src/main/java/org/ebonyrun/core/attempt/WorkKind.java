package org.ebonyrun.core.attempt;

/** The kind of work that an attempt runs. */
public enum WorkKind {
    /** A request of a caller that waits for the response. */
    CALL,
    /** A sample for a slot of a trainer's step. */
    SAMPLE
}
