package org.ebonyrun.base.result;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What is known about the execution of work that did not complete normally.
 *
 * <p>Immutable and thread safe.
 */
public enum Outcome {
    /** The work was never passed to an endpoint; it is safe to send it again. */
    NOT_RUN("not-run"),
    /** The work may have run, partly or completely. */
    UNKNOWN("unknown"),
    /** The work was attempted and ended with a known error. */
    FAILED("failed");

    private final String mWireName;

    Outcome(String wireName) {
        mWireName = wireName;
    }

    /** Returns the stable name used in JSON, for example {@code not-run}. */
    @JsonValue
    public String wireName() {
        return mWireName;
    }
}
