package org.ebonyrun.daemon.hosted;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.RouteTable;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.core.step.SubmissionWait;
import org.ebonyrun.core.stream.StreamResumption;
import org.ebonyrun.platform.FrontCall;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.platform.ResultsEncoder;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.FrontListener;
import org.ebonyrun.ports.http.HttpHeaders;
import org.ebonyrun.ports.store.CommitResult;

/**
 * Handles the HTTP requests of callers and trainers: finds the route of each request, dispatches it
 * to the component that serves it, and sends the response.
 *
 * <p>Confined to the entry's event loop, except for {@link #listener}, which is thread safe.
 */
final class FrontHandler implements StepReader.ReadResponder {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long RETRY_AFTER_MILLIS = 300;
    // For trainers that don't say how long they wait.
    private static final long MAX_CALLER_MILLIS = 3_600_000;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final HostedContext mContext;
    private final CallController mCalls;
    private final ResumedCalls mResumedCalls;
    private final StepOwnership mStepOwnership;
    private final StepStore mStepStore;
    private final Supplier<RouteTable> mRoutes;
    private final RandomGenerator mRandom;
    private final HeldSubmissions mHeldSubmissions;
    private StepReader mReader;

    FrontHandler(
            HostedContext context,
            CallController calls,
            ResumedCalls resumedCalls,
            StepOwnership stepOwnership,
            StepStore stepStore,
            Supplier<RouteTable> routes,
            RandomGenerator random) {
        mContext = context;
        mCalls = calls;
        mResumedCalls = resumedCalls;
        mStepOwnership = stepOwnership;
        mStepStore = stepStore;
        mRoutes = routes;
        mRandom = random;
        mHeldSubmissions =
                new HeldSubmissions(
                        () -> !context.storeHealth().isUnavailable(),
                        new HeldSubmissions.Listener() {
                            @Override
                            public void onRetry(HeldSubmissions.Submission submission) {
                                submit(submission);
                            }

                            @Override
                            public void onExpired(HeldSubmissions.Submission submission) {
                                refuseStep(submission, "waited too long for the shared store");
                            }
                        });
    }

    void onTick(long now) {
        mHeldSubmissions.onTick(now);
    }

    void onDrain() {
        mHeldSubmissions.onDrain(System.nanoTime());
    }

    void setReader(StepReader reader) {
        mReader = reader;
    }

    /** Returns a listener that forwards requests from the I/O thread to the event loop. */
    FrontListener listener(Executor executor) {
        return new FrontListener() {
            @Override
            public void onRequest(FrontExchange exchange) {
                executor.execute(() -> serve(exchange));
            }

            @Override
            public void onAbandoned(FrontExchange exchange) {
                executor.execute(() -> onDisconnected(exchange));
            }
        };
    }

    private void onDisconnected(FrontExchange exchange) {
        mHeldSubmissions.onAbandoned(exchange);
        mResumedCalls.onCallerDisconnected(exchange);
        mCalls.onCallerDisconnected(exchange, System.nanoTime());
    }

    private void serve(FrontExchange exchange) {
        RouteTable routes = mRoutes.get();
        String id = FrontProtocol.requestId(exchange.headers()).orElse("");
        if (!routes.isConfigured()) {
            refuse(exchange, id, "no configuration has been read yet");
            return;
        }
        FrontCall call = FrontCall.decode(exchange.method(), exchange.target(), exchange.headers());
        if (call instanceof FrontCall.ReadResults read) {
            mReader.read(read.step(), read.from(), read.waitMillis(), exchange);
        } else if (call instanceof FrontCall.ReadSample read) {
            mReader.readSample(read.step(), read.sample(), exchange);
        } else if (call instanceof FrontCall.EndStep end) {
            endStep(exchange, end.step());
        } else if (call instanceof FrontCall.Routed routed) {
            dispatch(exchange, id, routes, routed.path());
        } else {
            sendNotFound(exchange, "step");
        }
    }

    private void dispatch(FrontExchange exchange, String id, RouteTable routes, String path) {
        String host = FrontProtocol.host(exchange.headers());
        Optional<Route> route = routes.find(host, path);
        if (route.isEmpty()) {
            mContext.log()
                    .write(
                            LogLine.of("call.unrouted")
                                    .with("request", id)
                                    .with("host", host)
                                    .with("path", path)
                                    .with("config", routes.version()));
            sendNotFound(exchange, "route");
        } else if (route.get().kind() == RouteKind.STEPS) {
            submitStep(exchange, id, host, route.get());
        } else {
            startCall(exchange, id, route.get());
        }
    }

    private void startCall(FrontExchange exchange, String id, Route route) {
        long now = System.nanoTime();
        long timeout = route.call().timeoutMillis();
        long deadline = FrontProtocol.deadlineMillis(exchange.headers(), timeout);
        long endsAt = now + Nanos.ofMillis(Math.max(1, Math.min(timeout, deadline)));
        CallSpec spec =
                new CallSpec(
                        mCalls.nextCallId(),
                        id,
                        route,
                        route.pickService(mRandom),
                        now,
                        endsAt,
                        false,
                        null,
                        null);
        Optional<StreamResumption> resumption =
                route.kind() == RouteKind.RESUMABLE_STREAM
                        ? FrontProtocol.resumption(exchange.headers())
                        : Optional.empty();
        if (resumption.isPresent()) {
            mResumedCalls.start(spec, resumption.get(), exchange);
        } else {
            mCalls.onCall(spec, exchange, now);
        }
    }

    private void submitStep(FrontExchange exchange, String id, String host, Route route) {
        StepSpec spec;
        try {
            spec = StepDecoder.decode(StepId.of(id), host, route.prefix(), exchange.body());
        } catch (IllegalArgumentException e) {
            mContext.log()
                    .write(
                            LogLine.of("step.malformed")
                                    .with("step", id)
                                    .with("why", e.getMessage()));
            exchange.respond(BAD_REQUEST, FrontProtocol.requestIdHeaders(id), EMPTY_BODY);
            return;
        }
        long callerMillis = FrontProtocol.deadlineMillis(exchange.headers(), MAX_CALLER_MILLIS);
        long maxWait = SubmissionWait.maxNanos(route.step(), callerMillis);
        long endsAt = System.nanoTime() + maxWait;
        submit(new HeldSubmissions.Submission(exchange, id, spec, route, endsAt));
    }

    private void submit(HeldSubmissions.Submission submission) {
        StepSpec spec = submission.spec();
        StepStatus known = mContext.directory().get(spec.id());
        if (known != null && known.mManifest != null) {
            HttpHeaders headers = FrontProtocol.requestIdHeaders(submission.id());
            submission.exchange().respond(ACCEPTED, headers, EMPTY_BODY);
            return;
        }
        if (mContext.storeHealth().isUnavailable()) {
            holdOrRefuse(submission, "the shared store is unavailable");
            return;
        }
        mReader.onSubmitted(spec);
        mStepOwnership.accept(
                spec,
                submission.route(),
                submission.exchange().body(),
                result -> onAccepted(submission, result),
                System.nanoTime());
    }

    /** Lets a submission that the store certainly did not take wait for the store. */
    private void holdOrRefuse(HeldSubmissions.Submission submission, String why) {
        long now = System.nanoTime();
        if (!mHeldSubmissions.hold(submission, now)) {
            refuseStep(submission, why);
            return;
        }
        mContext.log()
                .write(
                        LogLine.of("step.held")
                                .with("step", submission.id())
                                .with("left_ms", Nanos.toMillis(submission.endsAt() - now))
                                .with("held", mHeldSubmissions.size())
                                .with("why", why));
    }

    private void refuseStep(HeldSubmissions.Submission submission, String why) {
        long outage = mContext.storeHealth().outageNanos(System.nanoTime());
        long retryAfter = SubmissionWait.retryAfterMillis(outage, mRandom.nextDouble());
        mContext.log()
                .write(
                        LogLine.of("step.refused")
                                .with("step", submission.id())
                                .with("retry_after_ms", retryAfter)
                                .with("why", why));
        HttpHeaders headers = FrontProtocol.retryAfterHeaders(submission.id(), retryAfter);
        submission.exchange().respond(UNAVAILABLE, headers, EMPTY_BODY);
    }

    private void onAccepted(HeldSubmissions.Submission submission, Result<Boolean> result) {
        FrontExchange exchange = submission.exchange();
        String id = submission.id();
        result.fold(
                accepted -> {
                    exchange.respond(ACCEPTED, FrontProtocol.requestIdHeaders(id), EMPTY_BODY);
                    return accepted;
                },
                fault -> {
                    if (fault.isNotRun()) {
                        holdOrRefuse(submission, fault.detail());
                        return false;
                    }
                    mContext.log()
                            .write(
                                    LogLine.of("step.unknown")
                                            .with("step", id)
                                            .with("why", fault.detail()));
                    respondFault(exchange, id, fault);
                    return false;
                });
    }

    /** Responds that nothing ran only if the store certainly did nothing. */
    private static void respondFault(FrontExchange exchange, String id, Fault fault) {
        if (fault.isNotRun()) {
            HttpHeaders headers = FrontProtocol.retryAfterHeaders(id, RETRY_AFTER_MILLIS);
            exchange.respond(UNAVAILABLE, headers, EMPTY_BODY);
        } else {
            exchange.respond(GATEWAY_TIMEOUT, FrontProtocol.requestIdHeaders(id), EMPTY_BODY);
        }
    }

    private void refuse(FrontExchange exchange, String id, String why) {
        mContext.log().write(LogLine.of("call.refused").with("request", id).with("why", why));
        exchange.respond(
                UNAVAILABLE, FrontProtocol.retryAfterHeaders(id, RETRY_AFTER_MILLIS), EMPTY_BODY);
    }

    private void endStep(FrontExchange exchange, StepId step) {
        StepStatus known = mContext.directory().get(step);
        if (known != null && known.mDone) {
            // A step that is done has no runs left to stop.
            mContext.log().write(LogLine.of("step.end").with("step", step).with("done", true));
            exchange.respond(OK, HttpHeaders.empty(), EMPTY_BODY);
            return;
        }
        mReader.withManifest(
                step,
                exchange,
                manifest ->
                        mStepStore
                                .markEnded(step)
                                .thenAcceptAsync(
                                        mContext.callback(
                                                result -> onStepEnded(exchange, step, result)),
                                        mContext.executor()));
    }

    private void onStepEnded(FrontExchange exchange, StepId step, Result<CommitResult> result) {
        result.fold(
                commit -> {
                    mContext.log().write(LogLine.of("step.end").with("step", step));
                    exchange.respond(OK, HttpHeaders.empty(), EMPTY_BODY);
                    return commit;
                },
                fault -> {
                    respondFault(exchange, "", fault);
                    return null;
                });
    }

    @Override
    public void sendResults(FrontExchange to, int total, int from, List<SampleResult> results) {
        to.respond(OK, FrontProtocol.jsonHeaders(), ResultsEncoder.encode(total, from, results));
    }

    @Override
    public void sendBody(FrontExchange to, byte[] body) {
        to.respond(OK, HttpHeaders.empty(), body);
    }

    @Override
    public void sendNotFound(FrontExchange to, String what) {
        to.respond(NOT_FOUND, HttpHeaders.empty(), EMPTY_BODY);
    }

    @Override
    public void sendFault(FrontExchange to, Fault fault) {
        mContext.log().write(LogLine.of("read.unsure").with("why", fault.detail()));
        to.respond(
                UNAVAILABLE, FrontProtocol.retryAfterHeaders("", RETRY_AFTER_MILLIS), EMPTY_BODY);
    }
}
