package org.ebonyrun.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.BodyReader;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.http.HttpServerSettings;
import org.ebonyrun.ports.http.HttpServers;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * A model engine that streams generated words as tokens. Keeps a log of its runs.
 *
 * <p>The text of a response consists of the run ID, a colon, the prompt, and a numbered word for
 * each token. Tests can thus tell which request a text belongs to, and whether it is complete.
 *
 * <p>Thread safe.
 */
public final class StandinEngine implements AutoCloseable {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int WORKERS = 2;
    private static final long FETCH_TIMEOUT_MILLIS = 5_000;
    private static final int DEFAULT_TOKENS = 16;

    private final EngineSettings mSettings;
    private final AsyncHttpClient mHttpClient;
    private final ScheduledExecutorService mTimer;
    private final HttpServer mServer;
    private final AtomicLong mRunIds = new AtomicLong();
    private final AtomicInteger mRunningCount = new AtomicInteger();
    private final AtomicInteger mLoadsToFail = new AtomicInteger();
    private final ConcurrentLinkedQueue<EngineRun> mEndedRuns = new ConcurrentLinkedQueue<>();
    private final Set<Run> mOpenRuns = ConcurrentHashMap.newKeySet();
    private volatile long mVersion;
    private volatile long mHighestFence;
    private volatile long mAcceptedStaleOrders;

    private StandinEngine(EngineSettings settings, String host, int port, long version)
            throws IOException {
        mSettings = settings;
        mVersion = version;
        mHttpClient = AsyncHttpClient.start();
        mTimer =
                Executors.newScheduledThreadPool(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "engine-" + settings.name());
                            thread.setDaemon(true);
                            return thread;
                        });
        mServer =
                HttpServers.start(
                        new HttpServerSettings(settings.name(), host, port, WORKERS),
                        Map.of(
                                "/v1/completions", handler(this::onCompletion),
                                "/state", handler(this::onState),
                                "/orders/load", handler(this::onLoad),
                                "/weights/*", handler(this::onWeights)));
    }

    /** Handles one request. */
    @FunctionalInterface
    private interface RequestHandler {
        void run(Request request, Responder out) throws IOException;
    }

    /** Starts an engine with the given weight version loaded. */
    public static StandinEngine start(EngineSettings settings, String host, int port, long version)
            throws IOException {
        return new StandinEngine(settings, host, port, version);
    }

    /** Returns the base address of the engine. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + HttpServers.port(mServer));
    }

    /** Returns all runs of the engine, finished or not. */
    public List<EngineRun> log() {
        List<EngineRun> runs = new ArrayList<>(mEndedRuns);
        mOpenRuns.forEach(run -> runs.add(run.record(false)));
        return runs;
    }

    /** Returns the loaded weight version. */
    public long version() {
        return mVersion;
    }

    /** Returns the number of orders accepted although a higher fence had been seen before. */
    public long acceptedStaleOrders() {
        return mAcceptedStaleOrders;
    }

    /** Makes the next loads fail after the weights have been fetched. */
    public void failLoads(int count) {
        mLoadsToFail.set(count);
    }

    /** Stops the engine as a crash does: aborts all running streams. */
    @Override
    public void close() {
        mTimer.shutdownNow();
        mOpenRuns.forEach(Run::abort);
        mServer.shutdownNow();
        mHttpClient.close();
    }

    /** Suspends a response, and copies the request ID into its header. */
    static Responder suspend(Request request, Response response) {
        Responder out = Responder.suspend(response);
        String requestId = request.getHeader(REQUEST_ID);
        if (requestId != null) {
            out.setHeader(REQUEST_ID, requestId);
        }
        return out;
    }

    private HttpHandler handler(RequestHandler action) {
        return new HttpHandler() {
            @Override
            public void service(Request request, Response response) throws IOException {
                action.run(request, suspend(request, response));
            }
        };
    }

    private void onState(Request request, Responder out) throws IOException {
        ObjectNode state = JSON.createObjectNode();
        state.put("version", mVersion);
        state.put("slots", mSettings.slots());
        state.put("running", mRunningCount.get());
        state.put("checks_fence", mSettings.checksFence());
        out.sendComplete(200, "application/json", JSON.writeValueAsBytes(state));
    }

    private void onWeights(Request request, Responder out) {
        String version = request.getRequestURI().substring("/weights/".length());
        boolean isLoaded = Long.parseLong(version) == mVersion;
        out.sendComplete(isLoaded ? 200 : 404, "application/octet-stream", new byte[0]);
    }

    private void onCompletion(Request request, Responder out) {
        String requestId = request.getHeader(REQUEST_ID);
        BodyReader.read(
                request,
                MAX_BODY_BYTES,
                result -> result.map(body -> startRun(String.valueOf(requestId), body, out)));
    }

    private boolean startRun(String requestId, byte[] body, Responder out) {
        JsonNode tree;
        try {
            tree = JSON.readTree(body);
        } catch (IOException e) {
            out.sendComplete(400, "application/json", "{\"error\":\"bad json\"}".getBytes());
            return false;
        }
        String prompt = tree.path("prompt").asText();
        int tokens = tree.path("max_tokens").asInt(DEFAULT_TOKENS);
        Run run = new Run(requestId, prompt, tokens, out);
        mOpenRuns.add(run);
        mRunningCount.incrementAndGet();
        out.begin(200, "text/event-stream");
        run.sendNext();
        return true;
    }

    private void onLoad(Request request, Responder out) {
        BodyReader.read(
                request,
                MAX_BODY_BYTES,
                result ->
                        result.map(
                                body -> {
                                    load(body, out);
                                    return true;
                                }));
    }

    private void load(byte[] body, Responder out) {
        JsonNode order;
        try {
            order = JSON.readTree(body);
        } catch (IOException e) {
            out.sendComplete(400, "text/plain", new byte[0]);
            return;
        }
        long fence = order.path("fence").asLong();
        if (fence < mHighestFence) {
            if (mSettings.checksFence()) {
                out.sendComplete(409, "text/plain", "old fence".getBytes(StandardCharsets.UTF_8));
                return;
            }
            mAcceptedStaleOrders++;
        }
        mHighestFence = Math.max(mHighestFence, fence);
        long version = order.path("version").asLong();
        URI source = URI.create(order.path("source").asText());
        mHttpClient
                .request(HttpRequest.of("GET", source, FETCH_TIMEOUT_MILLIS), "weights.fetch")
                .thenAccept(result -> onFetched(version, result, out));
    }

    private void onFetched(long version, Result<HttpResponse> result, Responder out) {
        boolean fetched = result.fold(HttpResponse::isSuccess, fault -> false);
        boolean fails = mLoadsToFail.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
        if (!fetched || fails || mTimer.isShutdown()) {
            out.sendComplete(502, "text/plain", "fetch failed".getBytes(StandardCharsets.UTF_8));
            return;
        }
        mTimer.schedule(
                () -> {
                    mVersion = version;
                    out.sendComplete(200, "text/plain", new byte[0]);
                },
                mSettings.swapMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** One completion. Its monitor guards its state. */
    private final class Run {
        private final String mRunId = mSettings.name() + "-" + mRunIds.incrementAndGet();
        private final String mRequestId;
        private final String mPrompt;
        private final int mMaxTokens;
        private final Responder mOut;
        private final TreeSet<Long> mVersions = new TreeSet<>();
        private int mSentTokens;

        Run(String requestId, String prompt, int maxTokens, Responder out) {
            mRequestId = requestId;
            mPrompt = prompt;
            mMaxTokens = maxTokens;
            mOut = out;
        }

        /**
         * Sends the next event. Ends the run when all tokens are sent or the client has
         * disconnected.
         */
        synchronized void sendNext() {
            long version = mVersion;
            int count = Math.min(mSettings.tokensPerChunk(), mMaxTokens - mSentTokens);
            StringBuilder text = new StringBuilder();
            if (mSentTokens == 0) {
                text.append(mRunId).append(':').append(mPrompt);
            }
            for (int i = 0; i < count; i++) {
                text.append(" t").append(mSentTokens + i);
            }
            mSentTokens += count;
            mVersions.add(version);
            if (!mOut.sendPart(encodeEvent(text.toString(), count, version))) {
                finish(false);
            } else if (mSentTokens >= mMaxTokens) {
                mOut.sendPart("data: [DONE]\n\n");
                mOut.end();
                finish(true);
            } else if (!mTimer.isShutdown()) {
                mTimer.schedule(this::sendNext, mSettings.chunkMillis(), TimeUnit.MILLISECONDS);
            }
        }

        void abort() {
            mOut.abort();
            finish(false);
        }

        synchronized EngineRun record(boolean finished) {
            return new EngineRun(
                    mRunId, mRequestId, mPrompt, List.copyOf(mVersions), mSentTokens, finished);
        }

        private void finish(boolean finished) {
            if (mOpenRuns.remove(this)) {
                mRunningCount.decrementAndGet();
                mEndedRuns.add(record(finished));
            }
        }

        private String encodeEvent(String text, int tokens, long version) {
            ObjectNode event = JSON.createObjectNode();
            event.put("object", "text_completion");
            event.putArray("choices").addObject().put("index", 0).put("text", text);
            event.put("tokens", tokens);
            event.put("weight_version", version);
            return "data: " + event + "\n\n";
        }
    }
}
