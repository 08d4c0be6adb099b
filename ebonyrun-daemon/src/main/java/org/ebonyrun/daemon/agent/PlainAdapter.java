package org.ebonyrun.daemon.agent;

import java.net.URI;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.core.attempt.Job;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.Correlation;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.ebonyrun.ports.http.HttpResponseListener;

/**
 * Talks to a plain HTTP service, which has no weights.
 *
 * <p>Thread safe. A service that does not repeat the request's id in its answers gets a connection
 * for each job.
 */
public final class PlainAdapter implements EndpointAdapter {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final int SLOTS = 64;
    private static final long STATE_TIMEOUT_MILLIS = 1_000;

    private final AsyncHttpClient mCaller;
    private final URI mBase;
    private final EndpointListener mEvents;
    private final OpenExchanges mExchanges = new OpenExchanges();

    private PlainAdapter(AsyncHttpClient caller, URI base, EndpointListener events) {
        mCaller = caller;
        mBase = base;
        mEvents = events;
    }

    /** Creates an adapter to the service at {@code base}. */
    public static PlainAdapter create(AsyncHttpClient caller, URI base, EndpointListener events) {
        return new PlainAdapter(caller, base, events);
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
                                        REQUEST_ID,
                                        id.toString()),
                                job.body(),
                                Math.max(1, job.timeoutMillis()))
                        .withCorrelation(Correlation.byHeader(REQUEST_ID, id.toString()));
        mExchanges.add(id, mCaller.send(call, new Answer(id)));
    }

    @Override
    public void stop(AttemptId id) {
        mExchanges.cancel(id);
    }

    @Override
    public void requestState() {
        HttpRequest call =
                HttpRequest.of("GET", URI.create(mBase + "/"), STATE_TIMEOUT_MILLIS)
                        .withCorrelation(Correlation.byKind("state"));
        mCaller.request(call, "service.state")
                .thenAccept(
                        result -> {
                            if (result.isOk()) {
                                mEvents.onState(0, SLOTS);
                            } else {
                                mEvents.onUnreachable();
                            }
                        });
    }

    @Override
    public void loadWeights(long version, long fence, String source) {
        Fault fault =
                Fault.notRun(
                        FaultCode.BAD_REQUEST,
                        "service.load",
                        mBase.getAuthority(),
                        "a plain service has no weights");
        mEvents.onLoadFinished(version, Optional.of(fault));
    }

    /** Reads one answer. Used by one I/O thread at a time. */
    private final class Answer implements HttpResponseListener {
        private final AttemptId mId;
        private int mStatus;

        Answer(AttemptId id) {
            mId = id;
        }

        @Override
        public void onHead(HttpResponseHead head) {
            mStatus = head.status();
        }

        @Override
        public void onData(byte[] data) {
            mEvents.onPiece(mId, data, 0, 0);
        }

        @Override
        public void onEnd() {
            mExchanges.remove(mId);
            mEvents.onEnd(mId, mStatus, "application/json");
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            mExchanges.remove(mId);
            mEvents.onFailure(mId, sent, FaultCode.PEER_LOST, detail);
        }
    }
}
