package org.ebonyrun.core.step;

/** How one run of a sample at an endpoint ended. */
public enum RunOutcome {
    /** The stream is complete. */
    COMPLETE,
    /** The stream ended with its connection; whether it is complete is unknown. */
    UNFRAMED,
    /** The endpoint rejected the run: it did not run the sample. */
    NOT_RUN,
    /** Another endpoint answers at the address. */
    WRONG_INSTANCE,
    /** The endpoint has another weight version than the run requires and did not run the sample. */
    WRONG_VERSION,
    /** The endpoint ran the sample and failed. */
    FAILED,
    /** No endpoint can ever generate the sample. */
    IMPOSSIBLE,
    /** No connection could be opened. */
    UNREACHABLE,
    /** The connection broke, or the response is not a valid stream. */
    BROKEN
}
