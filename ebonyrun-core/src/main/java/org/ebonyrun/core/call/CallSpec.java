package org.ebonyrun.core.call;

import java.util.OptionalInt;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * A call to be served.
 *
 * @param id the number of the call within this process
 * @param requestId the caller's request ID
 * @param route the route that matched the call
 * @param service the service that answers the call
 * @param arrivedAt when the call arrived, in nanoseconds of the monotonic clock
 * @param deadline the deadline, in nanoseconds of the monotonic clock: when the caller stops
 *     waiting or the route's timeout ends, whichever is first
 * @param background whether no person waits for the answer; other calls go first
 * @param origin what began the stream that the call resumes; null if it resumes none
 * @param workspace the workspace on whose behalf the call is made; null if there are none
 */
public record CallSpec(
        long id,
        String requestId,
        Route route,
        ServiceName service,
        long arrivedAt,
        long deadline,
        boolean background,
        @Nullable StreamOrigin origin,
        @Nullable WorkspaceName workspace) {
    /** The priority of callers' streams at an endpoint. */
    public static final int STREAM_PRIORITY = 1;

    /** Returns this call as one that goes on with a stream. */
    public CallSpec goingOnAt(StreamOrigin began) {
        return new CallSpec(
                id,
                requestId,
                route,
                began.service(),
                arrivedAt,
                deadline,
                background,
                began,
                workspace);
    }

    /**
     * Returns the priority of the call among the calls that wait here, zero being the highest. That
     * of the workspace goes before that of the route; the route that the call is created with
     * applies to its workspace.
     */
    public int priority() {
        return route.call().priority();
    }

    /**
     * Returns the priority of the call at an endpoint, zero being the highest; empty for the
     * endpoint's default. A caller who waits for a stream of tokens goes before training, whose
     * runs begin at {@link #STREAM_PRIORITY} + 1.
     */
    public OptionalInt endpointPriority() {
        return route.isStream() && !background
                ? OptionalInt.of(STREAM_PRIORITY)
                : OptionalInt.empty();
    }

    /** Returns whether the call begins a stream that callers may resume. */
    public boolean beginsResumableStream() {
        return origin == null && route.kind() == RouteKind.RESUMABLE_STREAM;
    }
}
