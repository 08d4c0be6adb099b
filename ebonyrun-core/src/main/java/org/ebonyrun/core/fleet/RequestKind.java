package org.ebonyrun.core.fleet;

/** What a request to an endpoint is for. */
public enum RequestKind {
    /** A call or a run of a sample. */
    WORK,
    /** A request for the endpoint's state, or an order to load weights; it goes before work. */
    CONTROL
}
