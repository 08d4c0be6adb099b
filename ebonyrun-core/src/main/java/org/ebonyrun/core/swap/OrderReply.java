package org.ebonyrun.core.swap;

/** An endpoint's reply to a load order. */
public enum OrderReply {
    /** The endpoint carries out the order. */
    ACCEPTED,
    /** The endpoint has already loaded that version. */
    HOLDS,
    /** Another order is in progress, or the count of accepted orders is not the expected one. */
    CONFLICT,
    /** The endpoint has seen a higher fencing token. */
    FENCED,
    /** The endpoint rejects the order for another reason. */
    REFUSED,
    /** There is no reply; the endpoint may still carry out the order later. */
    UNKNOWN
}
