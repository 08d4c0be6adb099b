package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.stream.ResumptionPolicy;
import org.ebonyrun.core.stream.StreamId;
import org.ebonyrun.core.stream.StreamOrigin;
import org.ebonyrun.core.stream.StreamResumption;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.ports.http.FrontExchange;
import org.jspecify.annotations.Nullable;

/**
 * Starts the calls that resume a stream, when it is known what began the stream; refuses them if
 * that is unknown, or if their route names its service no more.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class ResumedCalls {
    private static final int UNAVAILABLE = 503;

    private final HostedContext mContext;
    private final CallController mCalls;
    private final StreamController mStreams;

    /** A lookup of what began a stream, for a call that resumes it. */
    private record Lookup(long id, CallSpec call) {}

    private final Map<FrontExchange, Lookup> mLookups = new HashMap<>();

    ResumedCalls(HostedContext context, CallController calls, StreamController streams) {
        mContext = context;
        mCalls = calls;
        mStreams = streams;
    }

    /** Starts a call, or refuses it. */
    void start(CallSpec call, StreamResumption resumption, FrontExchange caller) {
        StreamId stream =
                resumption.firstRequestId().isEmpty()
                        ? null
                        : StreamId.of(
                                FrontProtocol.host(caller.headers()), resumption.firstRequestId());
        long lookup = mStreams.newLookup();
        mLookups.put(caller, new Lookup(lookup, call));
        mStreams.resolve(
                lookup,
                stream,
                call.route(),
                (origin, reason) -> {
                    mLookups.remove(caller);
                    onResolved(call, resumption, caller, origin, reason);
                });
    }

    /** Ends the lookup of a caller that has disconnected. */
    void onCallerDisconnected(FrontExchange caller) {
        Lookup lookup = mLookups.remove(caller);
        if (lookup != null) {
            mStreams.onAbandoned(lookup.id());
        }
    }

    /** Refuses the calls whose keys were withdrawn. */
    void onKeysChanged(CallerKeys keys) {
        List<FrontExchange> withdrawn = new ArrayList<>();
        mLookups.forEach(
                (caller, lookup) -> {
                    CallSpec call = lookup.call();
                    boolean isPublic = call.route().isPublic();
                    if (!keys.isStillAdmitted(caller, call.workspace(), isPublic)) {
                        withdrawn.add(caller);
                        keys.refuseWithdrawn(caller, call.requestId(), isPublic);
                    }
                });
        withdrawn.forEach(this::onCallerDisconnected);
    }

    private void onResolved(
            CallSpec call,
            StreamResumption resumption,
            FrontExchange caller,
            @Nullable StreamOrigin origin,
            String reason) {
        Optional<String> refusal =
                ResumptionPolicy.refusal(origin, reason, call.route().serviceNames());
        if (origin == null || refusal.isPresent()) {
            refuse(call, resumption, caller, refusal.orElse(reason));
        } else {
            long now = System.nanoTime();
            LogLine line =
                    LogLine.of("stream.resumed")
                            .with("request", call.requestId())
                            .with("resumes", resumption.firstRequestId())
                            .with("after", resumption.lastEvent())
                            .with("service", origin.service())
                            .with("software", origin.software())
                            .with("lookup_ms", Nanos.toMillis(now - call.arrivedAt()))
                            .with("why", reason);
            mContext.log().write(line);
            mCalls.onCall(call.goingOnAt(origin), caller, now);
        }
    }

    private void refuse(
            CallSpec call, StreamResumption resumption, FrontExchange caller, String reason) {
        mContext.metrics().count(EntryMetrics.CALLS, "refused");
        mContext.log()
                .write(
                        LogLine.of("call.refused")
                                .with("request", call.requestId())
                                .with("resumes", resumption.firstRequestId())
                                .with("after", resumption.lastEvent())
                                .with("retry_after_ms", ResumptionPolicy.RETRY_AFTER_MILLIS)
                                .with("why", reason));
        caller.respond(
                UNAVAILABLE,
                FrontProtocol.retryAfterHeaders(
                        call.requestId(), ResumptionPolicy.RETRY_AFTER_MILLIS),
                EndpointProtocol.emptyBody());
    }
}
