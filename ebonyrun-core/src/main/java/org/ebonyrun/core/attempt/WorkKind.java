package org.ebonyrun.core.attempt;

/** Whose work an attempt is. */
public enum WorkKind {
    /** A request of a caller who waits for the answer. */
    CALL,
    /** A sample of a trainer's step. */
    SAMPLE
}
