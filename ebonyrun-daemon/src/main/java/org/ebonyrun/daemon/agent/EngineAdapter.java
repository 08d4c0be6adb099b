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
 * Talks to a model engine: streaming completions with server-sent events, and the engine's orders.
 *
 * <p>Thread safe. The weight version is read off each piece of the stream. A stream that ends
 * without its end mark is a failure. An engine that does not repeat the request's id in its answers
 * gets a connection for each job.
 */
public final class EngineAdapter implements EndpointAdapter {
    private static final long STATE_TIMEOUT_MILLIS = 1_000;
    private static final long LOAD_TIMEOUT_MILLIS = 60_000;
    private static final String END_MARK = "[DONE]";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String REQUEST_ID = "X-Request-Id";

    private final AsyncHttpClient mCaller;
    private final URI mBase;
    private final EndpointListener mEvents;
    private final OpenExchanges mExchanges = new OpenExchanges();

    private EngineAdapter(AsyncHttpClient caller, URI base, EndpointListener events) {
        mCaller = caller;
        mBase = base;
        mEvents = events;
    }

    /** Creates an adapter to the engine at {@code base}. */
    public static EngineAdapter create(AsyncHttpClient caller, URI base, EndpointListener events) {
        return new EngineAdapter(caller, base, events);
    }

    @Override
    public void start(AttemptId id, Job job) {
        HttpRequest call =
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
        mExchanges.add(id, mCaller.send(call, new Stream(id)));
    }

    @Override
    public void stop(AttemptId id) {
        mExchanges.cancel(id);
    }

    @Override
    public void requestState() {
        HttpRequest call =
                HttpRequest.of("GET", URI.create(mBase + "/state"), STATE_TIMEOUT_MILLIS)
                        .withCorrelation(Correlation.byKind("state"));
        mCaller.request(call, "engine.state").thenAccept(this::onState);
    }

    @Override
    public void loadWeights(long version, long fence, String source) {
        ObjectNode order = Json.mapper().createObjectNode();
        order.put("version", version).put("fence", fence).put("source", source);
        URI uri = URI.create(mBase + "/orders/load");
        HttpRequest call =
                HttpRequest.json("POST", uri, Json.write(order), LOAD_TIMEOUT_MILLIS)
                        .withCorrelation(Correlation.byConnection());
        mCaller.request(call, "engine.load")
                .thenAccept(
                        result ->
                                mEvents.onLoadFinished(
                                        version, result.fold(this::loadFault, Optional::of)));
    }

    private void onState(Result<HttpResponse> result) {
        result.fold(
                reply -> {
                    readState(reply);
                    return true;
                },
                fault -> {
                    mEvents.onUnreachable();
                    return false;
                });
    }

    private void readState(HttpResponse reply) {
        try {
            JsonNode state = Json.tree(reply.body());
            mEvents.onState(state.path("version").asLong(), state.path("slots").asInt(1));
        } catch (IllegalArgumentException e) {
            mEvents.onUnreachable();
        }
    }

    private Optional<Fault> loadFault(HttpResponse reply) {
        if (reply.isSuccess()) {
            return Optional.empty();
        }
        String detail = "status " + reply.status() + ": " + reply.text();
        String peer = mBase.getAuthority();
        return Optional.of(Fault.failed(FaultCode.ENDPOINT_ERROR, "engine.load", peer, detail));
    }

    /** Reads one completion stream. Used by one I/O thread at a time. */
    private final class Stream implements HttpResponseListener {
        private final AttemptId mId;
        private final SseDataParser mParser = SseDataParser.create(this::onEvent);
        private int mStatus;
        private boolean mEndSeen;
        private boolean mBroken;

        Stream(AttemptId id) {
            mId = id;
        }

        @Override
        public void onHead(HttpResponseHead head) {
            mStatus = head.status();
        }

        @Override
        public void onData(byte[] data) {
            if (mStatus / 100 != 2) {
                mEvents.onPiece(mId, data, 0, 0);
            } else if (!mParser.feed(data)) {
                mBroken = true;
            }
        }

        @Override
        public void onEnd() {
            mExchanges.remove(mId);
            boolean success = mStatus / 100 == 2;
            if (success && (!mEndSeen || mBroken)) {
                mEvents.onFailure(mId, true, FaultCode.TRUNCATED, "no end mark");
            } else {
                mEvents.onEnd(mId, mStatus, success ? "text/plain" : "application/json");
            }
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            mExchanges.remove(mId);
            mEvents.onFailure(mId, sent, FaultCode.PEER_LOST, detail);
        }

        private void onEvent(String data) {
            if (data.equals(END_MARK)) {
                mEndSeen = true;
                return;
            }
            try {
                JsonNode event = Json.tree(data.getBytes(StandardCharsets.UTF_8));
                String text = event.path("choices").path(0).path("text").asText("");
                int tokens = event.path("tokens").asInt(1);
                long version = event.path("weight_version").asLong();
                mEvents.onPiece(mId, text.getBytes(StandardCharsets.UTF_8), tokens, version);
            } catch (IllegalArgumentException e) {
                mBroken = true;
            }
        }
    }
}
