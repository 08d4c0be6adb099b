package org.ebonyrun.core.config;

/** Who waits for a class of work. */
public enum ClassKind {
    /** A person waits for the answer. */
    INTERACTIVE,
    /** A program waits for the answer. */
    BACKGROUND,
    /** A trainer waits for samples. */
    ROLLOUT
}
