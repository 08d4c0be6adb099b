package org.ebonyrun.core.step;

/** How one try to score a sample ended. */
public enum ScoreOutcome {
    /** The service answered with success. */
    SCORED,
    /** The service ran the call and failed. */
    FAILED,
    /** The call did not run, or its outcome is unknown. */
    UNKNOWN
}
