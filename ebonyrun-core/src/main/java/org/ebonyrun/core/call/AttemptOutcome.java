package org.ebonyrun.core.call;

/** How one send of a call ended. */
public enum AttemptOutcome {
    /** The endpoint answered, with success or with an error that a repeat would not change. */
    ANSWERED,
    /** The endpoint ran the call and reported an error of its own. */
    SERVER_ERROR,
    /** The endpoint stated that it did not run the call, or nothing was sent. */
    NOT_RUN,
    /** Another endpoint has the address; the call was not run. */
    WRONG_INSTANCE,
    /** No connection could be opened; the call was not run. */
    UNREACHABLE,
    /** The connection ended without a whole answer; the call may have run. */
    LOST
}
