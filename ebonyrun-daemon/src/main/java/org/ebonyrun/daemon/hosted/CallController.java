package org.ebonyrun.daemon.hosted;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.AttemptOutcome;
import org.ebonyrun.core.call.CallFingerprint;
import org.ebonyrun.core.call.CallMachine;
import org.ebonyrun.core.call.CallOutputs;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.hedge.ConfiguredHedging;
import org.ebonyrun.core.hedge.HedgeDecision;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.step.ScoreCall;
import org.ebonyrun.core.step.ScoreOutcome;
import org.ebonyrun.core.stream.EventRelay;
import org.ebonyrun.core.stream.StreamResumption;
import org.ebonyrun.core.usage.UsageCounter;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * Performs the I/O that the call state machine requests, for calls of callers and for calls that
 * score samples. Calls of callers that crash endpoints are blocked; calls that score samples are
 * not, since a sample is owed whatever happens to an endpoint.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class CallController implements CallOutputs, CallExchange.Listener {
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVER_ERROR = 500;
    // For callers that say that they wait longer, or for ever.
    private static final long MAX_CALLER_MILLIS = 3_600_000;

    /** Receives the outcome of a call that scores a sample. */
    interface ScoreListener {
        /**
         * Called once, when the call has ended.
         *
         * @param score the score that the service returned; empty unless it scored the sample
         * @param failures the number of attempts that the service ran and that failed
         */
        void onEnd(ScoreOutcome outcome, String score, int failures);
    }

    private final HostedContext mContext;
    private final CallerKeys mKeys;
    private final AsyncHttpClient mHttpClient;
    private final CrashController mCrashes;
    private final StreamController mStreams;
    private final CallMachine mMachine;
    private Consumer<ServiceName> mRefusalListener = service -> {};
    private final HedgeLog mHedgeLog;
    private final Map<Long, CallClient> mClients = new HashMap<>();
    private final Map<FrontExchange, Long> mCallIds = new HashMap<>();
    // The latest attempt of a call that got a server error stays here until the call ends.
    private final Map<Long, CallExchange> mAttempts = new HashMap<>();
    private final Map<Long, CallSpec> mSpecs = new HashMap<>();
    private final CallErrors mErrors = new CallErrors();
    private UsageCounter mUsage = UsageCounter.NONE;
    private long mLastCallId;

    CallController(
            HostedContext context,
            CallerKeys keys,
            AsyncHttpClient httpClient,
            Fleet fleet,
            CrashController crashes,
            StreamController streams,
            FailureDomain domain) {
        mContext = context;
        mKeys = keys;
        mHttpClient = httpClient;
        mCrashes = crashes;
        mStreams = streams;
        mHedgeLog = new HedgeLog(context);
        mMachine =
                CallMachine.create(
                        fleet,
                        domain,
                        context.policy(),
                        new ConfiguredHedging(() -> context.settings().limits().extraWork()),
                        new CrashGuard(crashes, streams, this::fingerprintIfAnyCrashed),
                        this);
    }

    /** Returns an ID for a new call, unique within this process. */
    long nextCallId() {
        return ++mLastCallId;
    }

    /** Tells a counter of the attempts of callers' calls that have a workspace. */
    void countUsageWith(UsageCounter usage) {
        mUsage = usage;
    }

    /** Starts a call on behalf of a caller. */
    void onCall(CallSpec spec, FrontExchange caller, long now) {
        CallClient client = new CallClient(spec, caller, null, null);
        mClients.put(spec.id(), client);
        mCallIds.put(caller, spec.id());
        mMachine.onCall(spec, now);
    }

    /** Returns the fingerprint of a caller's call; null while no call has crashed an endpoint. */
    private @Nullable CallFingerprint fingerprintIfAnyCrashed(CallSpec call) {
        CallClient client = mCrashes.isEmpty() ? null : mClients.get(call.id());
        return client == null ? null : client.fingerprint();
    }

    /** Starts a call that scores a sample. */
    void onScoreCall(CallSpec spec, ScoreCall score, ScoreListener listener, long now) {
        mClients.put(spec.id(), new CallClient(spec, null, score, listener));
        mMachine.onCall(spec, now);
    }

    /** Cancels a call that scores a sample; its listener is not notified. */
    void onScoreCancelled(CallSpec call, long now) {
        abandon(call.id(), now);
    }

    /** Cancels the call of a caller that has disconnected. */
    void onCallerDisconnected(FrontExchange caller, long now) {
        Long call = mCallIds.remove(caller);
        if (call != null) {
            noteBrokenStream(call);
            noteUnanswered(call);
            abandon(call, now);
        }
    }

    private void abandon(long call, long now) {
        mClients.remove(call);
        mUsage.onCallEnd(call);
        mMachine.onAbandoned(call, now);
        removeErrors(call);
    }

    /** Ends the calls whose keys were withdrawn, except where endpoints run them already. */
    void onKeysChanged(CallerKeys keys, long now) {
        Set<Long> withdrawn = new HashSet<>();
        mClients.values()
                .forEach(
                        client -> {
                            CallSpec call = client.call();
                            FrontExchange caller = client.caller();
                            boolean refused =
                                    caller != null
                                            && !keys.isStillAdmitted(
                                                    caller,
                                                    call.workspace(),
                                                    call.route().isPublic());
                            if (refused) {
                                withdrawn.add(call.id());
                            }
                        });
        mMachine.onKeysWithdrawn(withdrawn, now);
    }

    /** Notes that the caller of a call left before the end of its response. */
    private void noteBrokenStream(long call) {
        mSpecs.values().stream()
                .filter(spec -> spec.id() == call)
                .findFirst()
                .ifPresent(this::noteBroken);
    }

    private void noteBroken(CallSpec call) {
        if (call.route().kind() == RouteKind.RESUMABLE_STREAM) {
            mStreams.onBroken(call.service());
        }
    }

    /** Notes the endpoints that have not answered a call which ends now. */
    private void noteUnanswered(long call) {
        CallClient client = mClients.get(call);
        mSpecs.forEach(
                (attempt, spec) -> {
                    CallExchange exchange = mAttempts.get(attempt);
                    boolean open = spec.id() == call && exchange != null && exchange.head() == null;
                    CallFingerprint fingerprint =
                            open && client != null ? client.fingerprint() : null;
                    if (fingerprint != null) {
                        mCrashes.onUnanswered(fingerprint, spec.requestId(), exchange.lifeName());
                    }
                });
    }

    int openCalls() {
        return mMachine.callCount();
    }

    /** Sets what is told of the service of each call that is refused. */
    void setRefusalListener(Consumer<ServiceName> listener) {
        mRefusalListener = listener;
    }

    /** Returns the number of open calls of a service. */
    int openCalls(ServiceName service) {
        return mMachine.callCount(service);
    }

    void onTick(long now) {
        mMachine.onTick(now);
    }

    @Override
    public void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis) {
        CallClient client = mClients.get(call.id());
        if (client == null) {
            return;
        }
        boolean streaming = client.caller() != null && call.route().isStream();
        CallExchange exchange = new CallExchange(attempt, streaming, endpoint, mContext, this);
        mAttempts.put(attempt, exchange);
        mSpecs.put(attempt, call);
        HttpRequest request = client.newRequest(endpoint, leftMillis);
        if (call.workspace() != null || mContext.workspaces().isEnabled()) {
            request =
                    EndpointProtocol.forWorkspace(request, mContext.workspaces(), call.workspace());
        }
        LogLine line =
                LogLine.of("call.sent")
                        .with("request", call.requestId())
                        .with("endpoint", endpoint.id())
                        .with("attempt", attempt)
                        .with("active", endpoint.activeRequests())
                        .with("waited_ms", Nanos.toMillis(System.nanoTime() - call.arrivedAt()))
                        .with("left_ms", leftMillis);
        if (call.workspace() != null) {
            line.with("workspace", call.workspace());
        }
        if (streaming) {
            line.with("software", endpoint.record().software());
            FrontProtocol.resumption(client.caller().headers())
                    .ifPresent(
                            resumed ->
                                    line.with("resumes", resumed.firstRequestId())
                                            .with("after", resumed.lastEvent()));
        }
        mContext.log().write(EndpointExchange.withLimit(line, endpoint));
        if (client.caller() != null && call.workspace() != null) {
            mUsage.onSent(call.id(), call.workspace(), attempt, System.currentTimeMillis());
        }
        mHttpClient.send(request, exchange);
    }

    @Override
    public void onHedgeDecided(CallSpec call, HedgeDecision decision, long openNanos) {
        mHedgeLog.onDecided(call, decision, openNanos);
    }

    @Override
    public void onHedgeEnded(CallSpec call, boolean won) {
        mHedgeLog.onEnded(won);
    }

    @Override
    public void cancel(long attempt) {
        CallExchange exchange = mAttempts.remove(attempt);
        CallSpec call = mSpecs.remove(attempt);
        if (exchange != null) {
            exchange.cancel();
        }
        if (call != null && exchange != null) {
            LogLine line =
                    LogLine.of("call.cancelled")
                            .with("request", call.requestId())
                            .with("attempt", attempt);
            mContext.log().write(exchange.withConnection(line));
        }
    }

    @Override
    public void deliver(CallSpec call, long attempt) {
        mContext.metrics().count(EntryMetrics.CALLS, "answered");
        CallExchange exchange = mAttempts.remove(attempt);
        int failures = mErrors.failures(call.id());
        CallClient client = finish(call);
        HttpResponseHead head = exchange == null ? null : exchange.head();
        if (client == null || head == null) {
            return;
        }
        CallFingerprint fingerprint = mCrashes.isEmpty() ? null : client.fingerprint();
        if (fingerprint != null && head.status() < SERVER_ERROR) {
            mCrashes.onAnswered(fingerprint);
        }
        FrontExchange caller = client.caller();
        if (caller == null) {
            endScore(client, head, failures);
        } else if (caller.isBegun()) {
            EventRelay relay = client.mRelay;
            if (relay != null) {
                caller.write(relay.finish());
            }
            caller.finish();
        } else {
            caller.respond(head.status(), head.headers().endToEnd(), exchange.body());
        }
    }

    private static void endScore(CallClient client, HttpResponseHead head, int failures) {
        ScoreListener listener = client.scoreListener();
        if (listener == null) {
            return;
        }
        if (head.isSuccess()) {
            listener.onEnd(ScoreOutcome.SCORED, EndpointProtocol.serverStamp(head), failures);
        } else {
            listener.onEnd(ScoreOutcome.FAILED, "", failures);
        }
    }

    @Override
    public void refuse(CallSpec call, long retryAfterMillis, String reason) {
        mContext.metrics().count(EntryMetrics.CALLS, "refused");
        mRefusalListener.accept(call.service());
        mContext.log()
                .write(
                        LogLine.of("call.refused")
                                .with("request", call.requestId())
                                .with("service", call.service())
                                .with("retry_after_ms", retryAfterMillis)
                                .with("open_calls", mMachine.callCount())
                                .with("why", reason));
        int failures = mErrors.failures(call.id());
        CallClient client = finish(call);
        if (client == null) {
            return;
        }
        if (client.scoreListener() != null) {
            client.scoreListener().onEnd(ScoreOutcome.UNKNOWN, "", failures);
        } else if (client.caller() != null && client.caller().isBegun()) {
            noteBroken(call);
            client.caller().abort();
        } else if (client.caller() != null) {
            client.caller()
                    .respond(
                            UNAVAILABLE,
                            FrontProtocol.retryAfterHeaders(call.requestId(), retryAfterMillis),
                            EndpointProtocol.emptyBody());
        }
    }

    @Override
    public void refuseKey(CallSpec call) {
        CallClient client = finish(call);
        if (client != null && client.caller() != null) {
            mKeys.refuseWithdrawn(client.caller(), call.requestId(), call.route().isPublic());
        }
    }

    @Override
    public void fail(CallSpec call, boolean timeout, String reason) {
        mContext.metrics().count(EntryMetrics.CALLS, timeout ? "timeout" : "failed");
        mContext.log()
                .write(
                        LogLine.of("call.failed")
                                .with("request", call.requestId())
                                .with("service", call.service())
                                .with("timeout", timeout)
                                .with("why", reason));
        int failures = mErrors.failures(call.id());
        noteUnanswered(call.id());
        CallClient client = finish(call);
        if (client == null) {
            return;
        }
        FrontExchange caller = client.caller();
        if (client.scoreListener() != null) {
            client.scoreListener().onEnd(ScoreOutcome.UNKNOWN, "", failures);
        } else if (caller != null && caller.isBegun()) {
            noteBroken(call);
            caller.abort();
        } else if (caller != null) {
            caller.respond(
                    timeout ? GATEWAY_TIMEOUT : BAD_GATEWAY,
                    FrontProtocol.requestIdHeaders(call.requestId()),
                    EndpointProtocol.emptyBody());
        }
    }

    private @Nullable CallClient finish(CallSpec call) {
        CallClient client = mClients.remove(call.id());
        double seconds = (System.nanoTime() - call.arrivedAt()) / (double) Nanos.PER_SECOND;
        mContext.metrics().recordCallSeconds(seconds);
        if (client != null && client.caller() != null) {
            mCallIds.remove(client.caller());
        }
        mUsage.onCallEnd(call.id());
        removeErrors(call.id());
        return client;
    }

    private void removeErrors(long call) {
        Long error = mErrors.remove(call);
        if (error != null) {
            mAttempts.remove(error);
        }
    }

    @Override
    public void onHead(CallExchange exchange, HttpResponseHead head) {
        CallSpec call = mSpecs.get(exchange.attempt());
        CallClient client = call == null ? null : mClients.get(call.id());
        if (client == null || client.caller() == null) {
            return;
        }
        long now = System.nanoTime();
        mMachine.onStreaming(exchange.attempt(), now);
        if (call.route().kind() == RouteKind.RESUMABLE_STREAM) {
            FrontExchange caller = client.caller();
            mStreams.onBegun(
                    call, client.streamId(caller), exchange.endpoint(), expiresAt(call, caller));
        }
        begin(call, client, exchange, head);
    }

    /** Returns when the caller of a stream comes no more. */
    private static long expiresAt(CallSpec call, FrontExchange caller) {
        long timeout = call.route().call().timeoutMillis();
        long waits = FrontProtocol.deadlineMillis(caller.headers(), timeout);
        long millis = Math.min(MAX_CALLER_MILLIS, Math.max(waits, timeout));
        return call.arrivedAt() + Nanos.ofMillis(millis);
    }

    /** Begins the response, or goes on with it. */
    private static void begin(
            CallSpec call, CallClient client, CallExchange exchange, HttpResponseHead head) {
        FrontExchange caller = client.caller();
        client.mCurrent = exchange;
        if (caller.isBegun()) {
            return;
        }
        if (call.route().kind() == RouteKind.RESUMABLE_STREAM) {
            long lastEvent =
                    FrontProtocol.resumption(caller.headers())
                            .map(StreamResumption::lastEvent)
                            .orElse(0L);
            client.mRelay = new EventRelay(lastEvent);
        }
        caller.begin(
                head.status(),
                head.headers().endToEnd(),
                bytes -> {
                    CallExchange current = client.mCurrent;
                    if (current != null) {
                        current.onWritten(bytes);
                    }
                });
    }

    @Override
    public boolean canGoOn(CallSpec call) {
        CallClient client = mClients.get(call.id());
        EventRelay relay = client == null ? null : client.mRelay;
        if (relay == null || !relay.canGoOn()) {
            return false;
        }
        relay.goOn();
        mContext.metrics().count(EntryMetrics.CALLS, "went on");
        mContext.log()
                .write(
                        LogLine.of("stream.broken")
                                .with("request", call.requestId())
                                .with("after", relay.lastEvent()));
        return true;
    }

    @Override
    public void onChunk(CallExchange exchange, byte[] chunk) {
        CallSpec call = mSpecs.get(exchange.attempt());
        CallClient client = call == null ? null : mClients.get(call.id());
        if (client != null && client.caller() != null && client.mCurrent == exchange) {
            passOn(client, exchange, chunk);
        } else {
            // Of the body of a score, only the end matters.
            exchange.onWritten(chunk.length);
        }
    }

    private static void passOn(CallClient client, CallExchange exchange, byte[] chunk) {
        EventRelay relay = client.mRelay;
        try {
            client.caller().write(relay == null ? chunk : relay.feed(chunk));
        } catch (IllegalStateException e) {
            // The endpoint goes on at another event; nothing more of it is passed on.
            client.mCurrent = null;
            exchange.reject(e.getMessage());
        }
    }

    /** Returns the outcome of an attempt, given what its caller already has of the response. */
    private AttemptOutcome outcome(CallSpec call, CallExchange exchange, AttemptOutcome outcome) {
        CallClient client = mClients.get(call.id());
        boolean goingOn = client != null && client.mRelay != null;
        HttpResponseHead head = exchange.head();
        boolean failed = head != null && !head.isSuccess();
        boolean ran = outcome == AttemptOutcome.ANSWERED || outcome.isServerError();
        boolean cut = goingOn && head != null && !head.framed() && client.mRelay.isInsideEvent();
        return goingOn && ran && (failed || cut) ? AttemptOutcome.LOST : outcome;
    }

    @Override
    public void onEnd(CallExchange exchange, AttemptOutcome reported) {
        CallSpec call = mSpecs.get(exchange.attempt());
        if (call == null) {
            return;
        }
        AttemptOutcome outcome = outcome(call, exchange, reported);
        HttpResponseHead head = exchange.head();
        mContext.metrics().count(EntryMetrics.ATTEMPTS, outcome.name());
        LogLine line =
                LogLine.of("call.attempt")
                        .with("request", call.requestId())
                        .with("attempt", exchange.attempt())
                        .with("end", outcome)
                        .with("status", head == null ? 0 : head.status())
                        .with("head_ms", exchange.headMillis())
                        .with("detail", exchange.detail());
        CallClient client = mClients.get(call.id());
        CallFingerprint fingerprint =
                exchange.isBroken() && client != null ? client.fingerprint() : null;
        if (fingerprint != null) {
            line.with("endpoint", exchange.endpointId()).with("fingerprint", fingerprint);
            mCrashes.onCrash(fingerprint, call.requestId(), exchange.lifeName());
        }
        if (outcome == AttemptOutcome.UNREACHABLE || exchange.isBroken()) {
            mCrashes.onEndpointCrashed(exchange.lifeName());
        } else if (outcome == AttemptOutcome.ANSWERED) {
            mCrashes.onEndpointAnswered(exchange.lifeName(), exchange.createdAt());
        }
        mContext.log().write(exchange.withConnection(line));
        mSpecs.remove(exchange.attempt());
        if (outcome.isNotRun()) {
            mUsage.onNotRun(call.id(), exchange.attempt());
        }
        if (outcome.isServerError()) {
            Long previous = mErrors.onError(call.id(), exchange.attempt(), outcome);
            if (previous != null) {
                mAttempts.remove(previous);
            }
        }
        mMachine.onAttemptEnd(exchange.attempt(), outcome, System.nanoTime());
        if (!outcome.isServerError()) {
            mAttempts.remove(exchange.attempt());
        }
    }
}
