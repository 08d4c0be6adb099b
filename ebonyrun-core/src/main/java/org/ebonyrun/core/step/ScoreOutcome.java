package org.ebonyrun.core.step;

/** How one attempt to score a sample ended. */
public enum ScoreOutcome {
    /** The service returned a score. */
    SCORED,
    /** The service ran the call and returned an error. */
    FAILED,
    /** The call did not run, or its outcome is unknown. */
    UNKNOWN
}
