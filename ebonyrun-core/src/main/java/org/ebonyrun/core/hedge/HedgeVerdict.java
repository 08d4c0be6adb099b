package org.ebonyrun.core.hedge;

/** Whether a call gets a hedged attempt now, or why not. */
public enum HedgeVerdict {
    /** A hedged attempt is sent if an endpoint has room. */
    SEND,
    /** The call has not been open for long enough, or hedging is off. */
    NOT_YET,
    /** The call may run only once. */
    MAY_NOT_REPEAT,
    /** The call has had all attempts that its route allows, or one hedged attempt. */
    ATTEMPTS_USED,
    /** The call, or an equal one, has broken a connection to an endpoint. */
    CRASHED,
    /** An endpoint of the service names a limit. */
    LIMITED,
    /** The service needs its room for first attempts. */
    SERVICE_BUSY,
    /** The limit on extra work is reached. */
    EXTRA_WORK_USED,
    /** No other endpoint has a free slot. */
    NO_ENDPOINT
}
