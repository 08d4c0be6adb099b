package org.ebonyrun.core.route;

/** What may be done with the requests of a route. */
public enum RouteKind {
    /** Calls that may run more than once. */
    IDEMPOTENT,
    /** Calls that run at most once. */
    ONCE,
    /** Calls that are answered by a stream of events and run at most once. */
    STREAM,
    /** Steps of trainers: many samples that are generated later. */
    STEPS
}
