package org.ebonyrun.core.route;

/** What kind of requests a route takes, and whether they may run more than once. */
public enum RouteKind {
    /** Idempotent calls: they may run more than once. */
    IDEMPOTENT,
    /** Non-idempotent calls: they run at most once. */
    ONCE,
    /** Calls whose response is a stream of events; they run at most once. */
    STREAM,
    /** Calls whose response is a stream of events, which callers may resume after any event. */
    RESUMABLE_STREAM,
    /** Steps of trainers, whose samples are generated asynchronously. */
    STEPS
}
