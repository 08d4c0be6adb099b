package org.ebonyrun.core.call;

/** Whether a call may be sent to an endpoint now. */
public enum CallAdmission {
    /** It may be sent. */
    ADMITTED,
    /** It has to wait until this is known; it is asked again. */
    PENDING,
    /** It may not be sent, not even once more. */
    BLOCKED
}
