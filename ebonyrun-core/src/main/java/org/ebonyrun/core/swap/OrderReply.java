package org.ebonyrun.core.swap;

/** How an endpoint answered an order. */
public enum OrderReply {
    /** It carries the order out. */
    ACCEPTED,
    /** It has that version already. */
    HOLDS,
    /** Another order is in progress, or the expected count differs. */
    CONFLICT,
    /** It has seen a higher fencing token. */
    FENCED,
    /** It refuses the order for another reason. */
    REFUSED,
    /** No answer; the order may be carried out later. */
    UNKNOWN
}
