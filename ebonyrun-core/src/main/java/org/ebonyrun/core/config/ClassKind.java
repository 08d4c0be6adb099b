package org.ebonyrun.core.config;

/** Who waits for a class of work. */
public enum ClassKind {
    /** A person waits for the response. */
    INTERACTIVE,
    /** A program waits for the response. */
    BACKGROUND,
    /** A trainer waits for samples. */
    ROLLOUT
}
