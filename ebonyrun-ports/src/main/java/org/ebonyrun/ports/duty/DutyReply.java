package org.ebonyrun.ports.duty;

/** How the platform replied to a call that performs a duty. */
public enum DutyReply {
    /** The platform has carried the call out. */
    DONE,

    /** The platform has seen a higher fence and has not carried the call out. */
    FENCED,

    /** The platform has not carried the call out, and will not. */
    REFUSED,

    /** The call may have been carried out, or may be carried out later. */
    UNKNOWN
}
