package org.ebonyrun.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.core.config.ClassKind;
import org.ebonyrun.core.config.ClassSpec;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.config.ServiceKind;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.core.routing.Work;
import org.ebonyrun.daemon.store.ClaimStore;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.Request;
import org.jspecify.annotations.Nullable;

/** HTTP interface for calls: {@code POST /v1/calls/{class}}. Thread safe. */
final class CallApi {
    static final String PREFIX = "/v1/calls/";

    private static final String FAULT_STEP = "http.call";
    private static final String IDEMPOTENT_HEADER = "Ebonyrun-Idempotent";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String PATH_HEADER = "Ebonyrun-Path";
    private static final int MAX_KEY_CHARS = 256;
    private static final long MIN_TIMEOUT_MILLIS = 5_000;
    private static final long TIMEOUT_PER_TARGET = 4;
    private static final long RETRY_AFTER_MILLIS = 200;
    private static final String COMPLETIONS_PATH = "/v1/completions";

    private final EntryContext mContext;

    CallApi(EntryContext context) {
        mContext = context;
    }

    void handle(Request request, Responder out) {
        long arrival = System.nanoTime();
        Result<CallHead> head = readHead(request);
        head.fold(
                call -> {
                    readBody(request, call, arrival, out);
                    return true;
                },
                fault -> {
                    FaultResponses.send(out, fault);
                    return false;
                });
    }

    /** The validated request line and headers of a call. */
    private record CallHead(
            ClassSpec spec,
            boolean engine,
            boolean idempotent,
            Optional<String> key,
            String path,
            String contentType) {}

    private Result<CallHead> readHead(Request request) {
        if (mContext.mDraining) {
            return refuse(FaultCode.DRAINING, "the entry is shutting down");
        }
        if (!request.getMethod().getMethodString().equals("POST")) {
            return refuse(FaultCode.BAD_REQUEST, "use POST");
        }
        OperatorConfig config = mContext.mCurrentConfig;
        if (config.version() == 0) {
            return refuse(FaultCode.PLATFORM_UNAVAILABLE, "no configuration has been read yet");
        }
        String name = request.getRequestURI().substring(PREFIX.length());
        ClassSpec spec = classSpec(config, name).orElse(null);
        if (spec == null || spec.kind() == ClassKind.ROLLOUT) {
            return refuse(FaultCode.NOT_FOUND, "no class for calls is called '" + name + "'");
        }
        String type = request.getContentType();
        if (type == null || !type.startsWith(FaultResponses.JSON_CONTENT_TYPE)) {
            return refuse(FaultCode.UNSUPPORTED_TYPE, "the content type must be application/json");
        }
        String idempotent = request.getHeader(IDEMPOTENT_HEADER);
        if (idempotent != null && !idempotent.equals("true") && !idempotent.equals("false")) {
            return refuse(FaultCode.BAD_REQUEST, IDEMPOTENT_HEADER + " must be true or false");
        }
        String key = request.getHeader(IDEMPOTENCY_KEY_HEADER);
        if (key != null && (key.isEmpty() || key.length() > MAX_KEY_CHARS)) {
            return refuse(
                    FaultCode.BAD_REQUEST,
                    IDEMPOTENCY_KEY_HEADER + " must have 1 to 256 characters");
        }
        boolean engine =
                config.service(spec.service())
                        .map(service -> service.kind() == ServiceKind.ENGINE)
                        .orElse(false);
        String path = request.getHeader(PATH_HEADER);
        if (path != null && (!path.startsWith("/") || path.indexOf(' ') >= 0)) {
            return refuse(FaultCode.BAD_REQUEST, PATH_HEADER + " must be an absolute path");
        }
        return Result.ok(
                new CallHead(
                        spec,
                        engine,
                        idempotent == null ? spec.idempotent() : idempotent.equals("true"),
                        Optional.ofNullable(key),
                        engine ? COMPLETIONS_PATH : path == null ? "/" : path,
                        FaultResponses.JSON_CONTENT_TYPE));
    }

    private static Optional<ClassSpec> classSpec(OperatorConfig config, String name) {
        try {
            return config.classSpec(ClassName.of(name));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void readBody(Request request, CallHead head, long arrival, Responder out) {
        RequestBodies.read(
                mContext.mTimer,
                request,
                mContext.mSettings.maxBodyBytes(),
                result ->
                        result.fold(
                                body -> {
                                    handleBody(head, body, arrival, out);
                                    return true;
                                },
                                fault -> {
                                    FaultResponses.send(out, fault);
                                    return false;
                                }));
    }

    private void handleBody(CallHead head, byte[] body, long arrival, Responder out) {
        CompletionsCodec.EngineRequest call;
        try {
            call =
                    head.engine()
                            ? CompletionsCodec.toEngineRequest(body)
                            : new CompletionsCodec.EngineRequest(requireJson(body), false);
        } catch (IllegalArgumentException e) {
            FaultResponses.send(
                    out, notRunFault(FaultCode.BAD_REQUEST, String.valueOf(e.getMessage())));
            return;
        }
        Work work = newWork(head, call.body(), call.streaming(), arrival);
        if (head.idempotent() || head.key().isEmpty()) {
            submit(new HttpCallListener(head.spec(), head.engine(), arrival, null, out), work);
            return;
        }
        claimAndSubmit(head, work, arrival, out);
    }

    /**
     * Claims the key of a non-idempotent call before any attempt is sent, so that the call runs at
     * most once even if another entry receives it as well.
     */
    private void claimAndSubmit(CallHead head, Work work, long arrival, Responder out) {
        String nonce = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        mContext.mClaimStore
                .claim(head.spec().name(), head.key().orElseThrow(), nonce)
                .thenAccept(
                        result ->
                                result.fold(
                                        claim -> {
                                            submit(
                                                    new HttpCallListener(
                                                            head.spec(),
                                                            head.engine(),
                                                            arrival,
                                                            claim,
                                                            out),
                                                    work);
                                            return true;
                                        },
                                        fault -> {
                                            FaultResponses.send(out, fault);
                                            return false;
                                        }));
    }

    private void submit(HttpCallListener listener, Work work) {
        mContext.mCallListeners.put(work.id(), listener);
        if (!mContext.mDispatchLoop.offer((machine, now) -> machine.submit(work, now))) {
            mContext.mCallListeners.remove(work.id());
            listener.onFault(notRunFault(FaultCode.OVERLOADED, "the entry is overloaded"));
        }
    }

    private Work newWork(CallHead head, byte[] body, boolean streaming, long arrival) {
        ClassSpec spec = head.spec();
        long timeout =
                Math.max(MIN_TIMEOUT_MILLIS, spec.targetLatencyMillis() * TIMEOUT_PER_TARGET);
        return new Work(
                mContext.mWorkIds.incrementAndGet(),
                WorkKind.CALL,
                spec.service(),
                spec.name(),
                spec.targetQuantile(),
                arrival,
                arrival + Nanos.ofMillis(spec.targetLatencyMillis()),
                arrival + Nanos.ofMillis(timeout),
                head.idempotent(),
                streaming,
                head.path(),
                head.contentType(),
                body,
                0,
                null,
                0);
    }

    private static byte[] requireJson(byte[] body) {
        Json.tree(body);
        return body;
    }

    private static Result<CallHead> refuse(FaultCode code, String detail) {
        return Result.err(notRunFault(code, detail));
    }

    private static Fault notRunFault(FaultCode code, String detail) {
        Fault fault = Fault.notRun(code, FAULT_STEP, "", detail);
        return code.httpStatus() == 503 ? fault.withRetryAfterMillis(RETRY_AFTER_MILLIS) : fault;
    }

    /**
     * Writes the response to one call. Called on the dispatch event loop; if its ring is full,
     * {@link #onFault} is called on the submitting thread instead.
     */
    private final class HttpCallListener implements CallListener {
        private static final String EVENT_STREAM = "text/event-stream";

        private final ClassSpec mSpec;
        private final boolean mEngine;
        private final long mArrival;
        private final ClaimStore.@Nullable Claim mClaim;
        private final Responder mOut;

        HttpCallListener(
                ClassSpec spec,
                boolean engine,
                long arrival,
                ClaimStore.@Nullable Claim claim,
                Responder out) {
            mSpec = spec;
            mEngine = engine;
            mArrival = arrival;
            mClaim = claim;
            mOut = out;
        }

        @Override
        public void onPiece(byte[] data) {
            mOut.begin(200, EVENT_STREAM);
            mOut.sendPart(CompletionsCodec.encodePieceEvent(data));
        }

        @Override
        public void onAnswer(Work work, Answer answer) {
            long nanos = System.nanoTime() - mArrival;
            boolean inTime = nanos <= Nanos.ofMillis(mSpec.targetLatencyMillis());
            mContext.mMetrics.recordAnsweredCall(
                    mSpec.name().value(), (double) nanos / Nanos.PER_SECOND, inTime);
            boolean success = answer.status() / 100 == 2;
            if (work.streaming() && success) {
                mOut.begin(200, EVENT_STREAM);
                mOut.sendPart(CompletionsCodec.encodeEndEvents(answer));
                mOut.end();
                return;
            }
            mOut.setHeader("Ebonyrun-Endpoint", answer.vm().value());
            byte[] body =
                    mEngine && success ? CompletionsCodec.encodeResponse(answer) : answer.body();
            mOut.sendComplete(
                    answer.status(),
                    mEngine ? FaultResponses.JSON_CONTENT_TYPE : answer.contentType(),
                    body);
        }

        @Override
        public void onFault(Fault fault) {
            mContext.mMetrics.recordFailedCall(mSpec.name().value(), fault.code().wireName());
            if (mClaim != null && fault.isNotRun()) {
                // The caller may repeat a call that did not run with the same key.
                mContext.mClaimStore.release(mClaim);
            }
            if (mOut.isStarted()) {
                String json = new String(FaultResponses.toJson(fault), StandardCharsets.UTF_8);
                mOut.sendPart("event: error\ndata: " + json + "\n\n");
                mOut.end();
                return;
            }
            FaultResponses.send(mOut, fault);
        }
    }
}
