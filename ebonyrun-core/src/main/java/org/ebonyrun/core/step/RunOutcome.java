package org.ebonyrun.core.step;

/** How one run of a sample at an endpoint ended. */
public enum RunOutcome {
    /** The stream was whole. */
    COMPLETE,
    /** The stream ended with its connection; whether it was whole is not known. */
    UNFRAMED,
    /** The endpoint stated that it did not run the sample. */
    NOT_RUN,
    /** Another endpoint has the address. */
    WRONG_INSTANCE,
    /** The endpoint has another weight version than the run named; it was not run. */
    WRONG_VERSION,
    /** The endpoint ran the sample and failed. */
    FAILED,
    /** The sample can never be generated. */
    IMPOSSIBLE,
    /** No connection could be opened. */
    UNREACHABLE,
    /** The connection broke, or what arrived was not a stream. */
    BROKEN
}
