package org.ebonyrun.daemon.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.attempt.Job;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.Correlation;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.ebonyrun.ports.http.HttpResponseListener;
import org.ebonyrun.ports.http.SseDataParser;

/**
 * Client of a model engine: receives completions as streams of server-sent events, and sends orders
 * to load weights.
 *
 * <p>Thread safe. Each event of a stream carries the weight version of its tokens. A stream that
 * ends without its end marker is a failure. If an engine does not echo the request ID in its
 * responses, each job uses a connection of its own.
 */
public final class EngineAdapter implements EndpointAdapter {
    private static final long STATE_TIMEOUT_MILLIS = 1_000;
    private static final long LOAD_TIMEOUT_MILLIS = 60_000;
    private static final String END_MARKER = "[DONE]";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String REQUEST_ID = "X-Request-Id";

    private final AsyncHttpClient mHttpClient;
    private final URI mBase;
    private final EndpointListener mListener;
    private final OpenExchanges mExchanges = new OpenExchanges();

    private EngineAdapter(AsyncHttpClient client, URI base, EndpointListener listener) {
        mHttpClient = client;
        mBase = base;
        mListener = listener;
    }

    /** Creates an adapter to the engine at {@code base}. */
    public static EngineAdapter create(
            AsyncHttpClient client, URI base, EndpointListener listener) {
        return new EngineAdapter(client, base, listener);
    }

    @Override
    public void start(AttemptId id, Job job) {
        HttpRequest request =
                HttpRequest.to(
                                "POST",
                                URI.create(mBase + job.path()),
                                Map.of(
                                        "Content-Type",
                                        job.contentType(),
                                        "Accept",
                                        EVENT_STREAM,
                                        REQUEST_ID,
                                        id.toString()),
                                job.body(),
                                Math.max(1, job.timeoutMillis()))
                        .withCorrelation(Correlation.byHeader(REQUEST_ID, id.toString()));
        mExchanges.add(id, mHttpClient.send(request, new StreamReader(id)));
    }

    @Override
    public void stop(AttemptId id) {
        mExchanges.cancel(id);
    }

    @Override
    public void requestState() {
        HttpRequest request =
                HttpRequest.of("GET", URI.create(mBase + "/state"), STATE_TIMEOUT_MILLIS)
                        .withCorrelation(Correlation.byKind("state"));
        mHttpClient.request(request, "engine.state").thenAccept(this::onStateResult);
    }

    @Override
    public void loadWeights(long version, long fence, String source) {
        ObjectNode order = Json.mapper().createObjectNode();
        order.put("version", version).put("fence", fence).put("source", source);
        URI uri = URI.create(mBase + "/orders/load");
        HttpRequest request =
                HttpRequest.json("POST", uri, Json.write(order), LOAD_TIMEOUT_MILLIS)
                        .withCorrelation(Correlation.byConnection());
        mHttpClient
                .request(request, "engine.load")
                .thenAccept(
                        result ->
                                mListener.onLoadFinished(
                                        version, result.fold(this::toLoadFault, Optional::of)));
    }

    private void onStateResult(Result<HttpResponse> result) {
        result.fold(
                response -> {
                    reportState(response);
                    return true;
                },
                fault -> {
                    mListener.onUnreachable();
                    return false;
                });
    }

    private void reportState(HttpResponse response) {
        try {
            JsonNode state = Json.tree(response.body());
            mListener.onState(state.path("version").asLong(), state.path("slots").asInt(1));
        } catch (IllegalArgumentException e) {
            mListener.onUnreachable();
        }
    }

    private Optional<Fault> toLoadFault(HttpResponse response) {
        if (response.isSuccess()) {
            return Optional.empty();
        }
        String detail = "status " + response.status() + ": " + response.text();
        String peer = mBase.getAuthority();
        return Optional.of(Fault.failed(FaultCode.ENDPOINT_ERROR, "engine.load", peer, detail));
    }

    /** Reads the event stream of one completion. Used by one I/O thread at a time. */
    private final class StreamReader implements HttpResponseListener {
        private final AttemptId mId;
        private final SseDataParser mParser = SseDataParser.create(this::onEvent);
        private int mStatus;
        private boolean mEndMarkerSeen;
        private boolean mMalformed;

        StreamReader(AttemptId id) {
            mId = id;
        }

        @Override
        public void onHead(HttpResponseHead head) {
            mStatus = head.status();
        }

        @Override
        public void onData(byte[] data) {
            if (mStatus / 100 != 2) {
                mListener.onPiece(mId, data, 0, 0);
            } else if (!mParser.feed(data)) {
                mMalformed = true;
            }
        }

        @Override
        public void onEnd() {
            mExchanges.remove(mId);
            boolean success = mStatus / 100 == 2;
            if (success && (!mEndMarkerSeen || mMalformed)) {
                mListener.onFailure(
                        mId, true, FaultCode.TRUNCATED, "malformed event stream, or no end marker");
            } else {
                mListener.onEnd(mId, mStatus, success ? "text/plain" : "application/json");
            }
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            mExchanges.remove(mId);
            mListener.onFailure(mId, sent, FaultCode.PEER_LOST, detail);
        }

        private void onEvent(String data) {
            if (data.equals(END_MARKER)) {
                mEndMarkerSeen = true;
                return;
            }
            try {
                JsonNode event = Json.tree(data.getBytes(StandardCharsets.UTF_8));
                String text = event.path("choices").path(0).path("text").asText("");
                int tokens = event.path("tokens").asInt(1);
                long version = event.path("weight_version").asLong();
                mListener.onPiece(mId, text.getBytes(StandardCharsets.UTF_8), tokens, version);
            } catch (IllegalArgumentException e) {
                mMalformed = true;
            }
        }
    }
}
