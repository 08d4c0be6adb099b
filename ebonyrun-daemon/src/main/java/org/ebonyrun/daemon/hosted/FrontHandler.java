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
import org.ebonyrun.platform.FrontCall;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.platform.ResultsEncoder;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.FrontListener;
import org.ebonyrun.ports.http.HttpHeaders;
import org.ebonyrun.ports.store.CommitResult;

/**
 * Answers callers: finds the route of each request and passes it to the part that serves it.
 *
 * <p>Not thread safe but for {@link #listener}; confined to the entry's duty.
 */
final class FrontHandler implements StepReader.ReadResponder {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long RETRY_AFTER_MILLIS = 300;
    private static final byte[] NOTHING = new byte[0];

    private final HostedContext mParts;
    private final CallController mCalls;
    private final StepOwnership mSteps;
    private final StepStore mStore;
    private final Supplier<RouteTable> mRoutes;
    private final RandomGenerator mRandom;
    private StepReader mReader;

    FrontHandler(
            HostedContext parts,
            CallController calls,
            StepOwnership steps,
            StepStore store,
            Supplier<RouteTable> routes,
            RandomGenerator random) {
        mParts = parts;
        mCalls = calls;
        mSteps = steps;
        mStore = store;
        mRoutes = routes;
        mRandom = random;
    }

    void setReader(StepReader reader) {
        mReader = reader;
    }

    /** Returns a listener that brings requests from the I/O thread to the duty. */
    FrontListener listener(Executor executor) {
        return new FrontListener() {
            @Override
            public void onRequest(FrontExchange exchange) {
                executor.execute(() -> serve(exchange));
            }

            @Override
            public void onAbandoned(FrontExchange exchange) {
                executor.execute(() -> mCalls.onCallerDisconnected(exchange, System.nanoTime()));
            }
        };
    }

    private void serve(FrontExchange exchange) {
        RouteTable routes = mRoutes.get();
        String id = FrontProtocol.requestId(exchange.headers()).orElse("");
        if (!routes.isConfigured()) {
            refuse(exchange, id, "no configuration is known");
            return;
        }
        FrontCall call = FrontCall.decode(exchange.method(), exchange.target(), exchange.headers());
        if (call instanceof FrontCall.ReadResults read) {
            mReader.read(read.step(), read.from(), read.waitMillis(), exchange);
        } else if (call instanceof FrontCall.ReadSample read) {
            mReader.readSample(read.step(), read.sample(), exchange);
        } else if (call instanceof FrontCall.EndStep end) {
            end(exchange, end.step());
        } else if (call instanceof FrontCall.Routed routed) {
            route(exchange, id, routes, routed.path());
        } else {
            sendNotFound(exchange, "step");
        }
    }

    private void route(FrontExchange exchange, String id, RouteTable routes, String path) {
        String host = FrontProtocol.host(exchange.headers());
        Optional<Route> route = routes.find(host, path);
        if (route.isEmpty()) {
            mParts.log()
                    .write(
                            LogLine.of("call.unrouted")
                                    .with("request", id)
                                    .with("host", host)
                                    .with("path", path)
                                    .with("config", routes.version()));
            sendNotFound(exchange, "route");
        } else if (route.get().kind() == RouteKind.STEPS) {
            submit(exchange, id, host, route.get());
        } else {
            call(exchange, id, route.get());
        }
    }

    private void call(FrontExchange exchange, String id, Route route) {
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
                        false);
        mCalls.onCall(spec, exchange, now);
    }

    private void submit(FrontExchange exchange, String id, String host, Route route) {
        StepSpec spec;
        try {
            spec = StepDecoder.decode(StepId.of(id), host, route.prefix(), exchange.body());
        } catch (IllegalArgumentException e) {
            mParts.log()
                    .write(
                            LogLine.of("step.malformed")
                                    .with("step", id)
                                    .with("why", e.getMessage()));
            exchange.respond(BAD_REQUEST, FrontProtocol.requestIdHeaders(id), NOTHING);
            return;
        }
        StepStatus known = mParts.directory().get(spec.id());
        if (known != null && known.mManifest != null) {
            exchange.respond(ACCEPTED, FrontProtocol.requestIdHeaders(id), NOTHING);
            return;
        }
        if (mParts.isStoreUnavailable()) {
            refuse(exchange, id, "the shared store does not answer");
            return;
        }
        mReader.onSubmitted(spec);
        mSteps.accept(
                spec,
                route,
                exchange.body(),
                result -> onAccepted(exchange, id, result),
                System.nanoTime());
    }

    private void onAccepted(FrontExchange exchange, String id, Result<Boolean> result) {
        result.fold(
                accepted -> {
                    exchange.respond(ACCEPTED, FrontProtocol.requestIdHeaders(id), NOTHING);
                    return accepted;
                },
                fault -> {
                    mParts.log()
                            .write(
                                    LogLine.of("step.refused")
                                            .with("step", id)
                                            .with("outcome", fault.outcome())
                                            .with("why", fault.detail()));
                    answerFault(exchange, id, fault);
                    return false;
                });
    }

    /** Says "not run" only when the store certainly did nothing. */
    private static void answerFault(FrontExchange exchange, String id, Fault fault) {
        if (fault.isNotRun()) {
            HttpHeaders headers = FrontProtocol.retryAfterHeaders(id, RETRY_AFTER_MILLIS);
            exchange.respond(UNAVAILABLE, headers, NOTHING);
        } else {
            exchange.respond(GATEWAY_TIMEOUT, FrontProtocol.requestIdHeaders(id), NOTHING);
        }
    }

    private void refuse(FrontExchange exchange, String id, String why) {
        mParts.log().write(LogLine.of("call.refused").with("request", id).with("why", why));
        exchange.respond(
                UNAVAILABLE, FrontProtocol.retryAfterHeaders(id, RETRY_AFTER_MILLIS), NOTHING);
    }

    private void end(FrontExchange exchange, StepId step) {
        StepStatus known = mParts.directory().get(step);
        if (known != null && known.mDone) {
            // Nothing runs that the end could stop.
            mParts.log().write(LogLine.of("step.end").with("step", step).with("done", true));
            exchange.respond(OK, HttpHeaders.empty(), NOTHING);
            return;
        }
        mReader.withManifest(
                step,
                exchange,
                manifest ->
                        mStore.markEnded(step)
                                .thenAcceptAsync(
                                        result -> onEnded(exchange, step, result),
                                        mParts.executor()));
    }

    private void onEnded(FrontExchange exchange, StepId step, Result<CommitResult> result) {
        result.fold(
                commit -> {
                    mParts.log().write(LogLine.of("step.end").with("step", step));
                    exchange.respond(OK, HttpHeaders.empty(), NOTHING);
                    return commit;
                },
                fault -> {
                    answerFault(exchange, "", fault);
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
        to.respond(NOT_FOUND, HttpHeaders.empty(), NOTHING);
    }

    @Override
    public void sendFault(FrontExchange to, Fault fault) {
        mParts.log().write(LogLine.of("read.unsure").with("why", fault.detail()));
        to.respond(UNAVAILABLE, FrontProtocol.retryAfterHeaders("", RETRY_AFTER_MILLIS), NOTHING);
    }
}
