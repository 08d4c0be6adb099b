package org.ebonyrun.daemon.hosted;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.memory.MemoryRefusedException;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.route.CallerLimits;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.RouteTable;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.core.step.SubmissionWait;
import org.ebonyrun.core.stream.StreamResumption;
import org.ebonyrun.core.workspace.Admission;
import org.ebonyrun.core.workspace.Workspace;
import org.ebonyrun.platform.FrontCall;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.platform.ResultsEncoder;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.platform.SubmissionSyntax;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.FrontLimits;
import org.ebonyrun.ports.http.FrontListener;
import org.ebonyrun.ports.http.HttpHeaders;
import org.ebonyrun.ports.store.CommitResult;
import org.jspecify.annotations.Nullable;

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
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long RETRY_AFTER_MILLIS = 300;
    // For trainers that don't say how long they wait.
    private static final long MAX_CALLER_MILLIS = 3_600_000;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final HostedContext mContext;
    private final CallerKeys mKeys;
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
            CallerKeys keys,
            CallController calls,
            ResumedCalls resumedCalls,
            StepOwnership stepOwnership,
            StepStore stepStore,
            Supplier<RouteTable> routes,
            RandomGenerator random) {
        mContext = context;
        mKeys = keys;
        mCalls = calls;
        mResumedCalls = resumedCalls;
        mStepOwnership = stepOwnership;
        mStepStore = stepStore;
        mRoutes = routes;
        mRandom = random;
        mHeldSubmissions =
                new HeldSubmissions(
                        () ->
                                !context.storeHealth().isUnavailable()
                                        && keys.isConfigurationReadSinceOutage(System.nanoTime()),
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

    /** Ends what waits for callers whose keys were withdrawn. */
    void onConfigurationChanged(long now) {
        mResumedCalls.onKeysChanged(mKeys);
        mCalls.onKeysChanged(mKeys, now);
    }

    void onTick(long now) {
        mKeys.onTick(now);
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
                MemoryClaim memory = exchange.memory().retain();
                executor.execute(
                        () -> {
                            onDisconnected(exchange);
                            memory.release();
                        });
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
            withStepAccess(
                    exchange,
                    id,
                    read.step(),
                    access ->
                            mReader.read(
                                    read.step(), read.from(), read.waitMillis(), access, exchange));
        } else if (call instanceof FrontCall.ReadSample read) {
            withStepAccess(
                    exchange,
                    id,
                    read.step(),
                    access -> mReader.readSample(read.step(), read.sample(), access, exchange));
        } else if (call instanceof FrontCall.EndStep end) {
            withStepAccess(
                    exchange, id, end.step(), access -> endStep(exchange, end.step(), access));
        } else if (call instanceof FrontCall.Routed routed) {
            dispatch(exchange, id, routes, routed.path());
        } else {
            withStepAccess(exchange, id, null, access -> sendNotFound(exchange, "step"));
        }
    }

    /**
     * Passes {@code action} which steps the caller may reach, or refuses the request.
     *
     * @param step the step that the request is for; null if it can't exist
     */
    private void withStepAccess(
            FrontExchange exchange,
            String id,
            @Nullable StepId step,
            Consumer<Predicate<StepManifest>> action) {
        if (!mContext.workspaces().isEnabled()) {
            action.accept(manifest -> true);
            return;
        }
        Admission admission = mKeys.admit(exchange, step != null && isPublicStep(step));
        if (admission.isAdmitted()) {
            action.accept(manifest -> manifest.isAccessibleTo(admission.workspaceName()));
        } else {
            mKeys.refuse(exchange, id, admission);
        }
    }

    /** Returns whether a step is known here to be of no workspace and of a public route. */
    private boolean isPublicStep(StepId step) {
        StepStatus known = mContext.directory().get(step);
        StepManifest manifest = known == null ? null : known.mManifest;
        return manifest != null
                && manifest.workspace() == null
                && mContext.routeOf(manifest).filter(Route::isPublic).isPresent();
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
            return;
        }
        Admission admission = mKeys.admit(exchange, route.get().isPublic());
        if (!admission.isAdmitted()) {
            mKeys.refuse(exchange, id, admission);
        } else if (route.get().kind() == RouteKind.STEPS) {
            submitStep(exchange, id, host, path, route.get(), admission.workspaceName());
        } else {
            startCall(exchange, id, route.get(), admission.workspace());
        }
    }

    private void startCall(
            FrontExchange exchange, String id, Route matched, @Nullable Workspace workspace) {
        Route route = workspace == null ? matched : workspace.applyTo(matched);
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
                        workspace == null ? null : workspace.name());
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

    private void submitStep(
            FrontExchange exchange,
            String id,
            String host,
            String path,
            Route route,
            @Nullable WorkspaceName workspace) {
        MemoryClaim memory = mContext.memory().open(MemoryClass.STEP);
        StepSpec spec;
        try {
            spec =
                    StepDecoder.decode(StepId.of(id), host, route.prefix(), exchange.body(), memory)
                            .withWorkspace(workspace);
            SubmissionSyntax.check(spec);
        } catch (MemoryRefusedException e) {
            memory.release();
            refuseForMemory(exchange, id, e);
            return;
        } catch (IllegalArgumentException e) {
            memory.release();
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
        exchange.memory().retain();
        submit(new HeldSubmissions.Submission(exchange, id, spec, memory, path, endsAt));
    }

    /** Refuses a request whose response or content does not fit into memory. */
    private void refuseForMemory(FrontExchange exchange, String id, MemoryRefusedException e) {
        mContext.memory().countRefused(MemoryClass.STEP);
        mContext.log()
                .write(
                        LogLine.of("memory.refused")
                                .with("request", id)
                                .with("held", mContext.memory().held())
                                .with("limit", mContext.memory().limit())
                                .with("why", e.getMessage()));
        if (e.isFinal()) {
            exchange.respond(TOO_LARGE, FrontProtocol.requestIdHeaders(id), EMPTY_BODY);
        } else {
            HttpHeaders headers = FrontProtocol.retryAfterHeaders(id, RETRY_AFTER_MILLIS);
            exchange.respond(UNAVAILABLE, headers, EMPTY_BODY);
        }
    }

    /**
     * Submits a step, by the route that the configuration in force has for it: the one of its
     * arrival may be in force no longer when a submission that waited is tried again.
     */
    private void submit(HeldSubmissions.Submission submission) {
        FrontExchange exchange = submission.exchange();
        RouteTable routes = mRoutes.get();
        Optional<Route> found =
                routes.find(submission.spec().host(), submission.path())
                        .filter(route -> route.kind() == RouteKind.STEPS);
        if (found.isEmpty()) {
            submission.releaseMemory();
            dispatch(exchange, submission.id(), routes, submission.path());
            return;
        }
        StepSpec spec = submission.spec().withPrefix(found.get().prefix());
        StepStatus known = mContext.directory().get(spec.id());
        boolean isPublic = found.get().isPublic();
        if (!mKeys.isStillAdmitted(exchange, spec.workspace(), isPublic)) {
            mKeys.refuseWithdrawn(exchange, submission.id(), isPublic);
            submission.releaseMemory();
            return;
        }
        if (known != null && known.mManifest != null) {
            respondAccepted(submission, known.mManifest.isAccessibleTo(spec.workspace()));
            return;
        }
        if (mContext.storeHealth().isUnavailable()) {
            holdOrRefuse(submission, "the shared store is unavailable");
            return;
        }
        if (!mKeys.isConfigurationReadSinceOutage(System.nanoTime())) {
            holdOrRefuse(submission, "the configuration may be outdated");
            return;
        }
        mStepOwnership.accept(
                spec,
                exchange.body(),
                submission.memory(),
                result -> onAccepted(submission, result),
                System.nanoTime());
    }

    /**
     * Responds that the store has a step.
     *
     * @param accessible whether the step is the caller's; another workspace learns nothing of it
     */
    private void respondAccepted(HeldSubmissions.Submission submission, boolean accessible) {
        boolean accepted = accessible || !mContext.workspaces().isEnabled();
        HttpHeaders headers = FrontProtocol.requestIdHeaders(submission.id());
        submission.exchange().respond(accepted ? ACCEPTED : NOT_FOUND, headers, EMPTY_BODY);
        submission.releaseMemory();
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
        submission.releaseMemory();
    }

    private void onAccepted(HeldSubmissions.Submission submission, Result<Boolean> result) {
        FrontExchange exchange = submission.exchange();
        String id = submission.id();
        result.fold(
                accepted -> {
                    respondAccepted(submission, accepted);
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
                    submission.releaseMemory();
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

    private void endStep(FrontExchange exchange, StepId step, Predicate<StepManifest> access) {
        StepStatus known = mContext.directory().get(step);
        StepManifest manifest = known == null ? null : known.mManifest;
        boolean reachable =
                manifest == null ? !mContext.workspaces().isEnabled() : access.test(manifest);
        if (known != null && known.mDone && reachable) {
            // A step that is done has no runs left to stop.
            mContext.log().write(LogLine.of("step.end").with("step", step).with("done", true));
            exchange.respond(OK, HttpHeaders.empty(), EMPTY_BODY);
            return;
        }
        mReader.withManifest(
                step,
                access,
                exchange,
                found ->
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
        respond(to, FrontProtocol.jsonHeaders(), ResultsEncoder.encode(total, from, results));
    }

    /** Responds to a read, unless its callers leave too many responses unread. */
    private void respond(FrontExchange to, HttpHeaders headers, byte[] body) {
        if (to.reserveResponse(body.length)) {
            to.respond(OK, headers, body);
        } else {
            mContext.memory().countRefused(MemoryClass.RESPONSE);
            sendFault(
                    to,
                    Fault.notRun(
                            FaultCode.OVERLOADED, "step.read", "", "no memory for the response"));
        }
    }

    @Override
    public void sendBody(FrontExchange to, byte[] body) {
        respond(to, HttpHeaders.empty(), body);
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

    /** Returns the limits of the front's connections under the configured limits for callers. */
    static FrontLimits limits(CallerLimits limits) {
        return new FrontLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }
}
