package org.ebonyrun.core.stream;

/** Whether a stream may begin at an endpoint. */
public enum StreamAdmission {
    /** The stream may begin. */
    ADMITTED,
    /** The software version of the endpoint is being announced to the other entries. */
    PENDING,
    /** The software version of the endpoint could not be announced. */
    DENIED
}
