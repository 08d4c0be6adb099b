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
 * Client of a plain HTTP service, which has no weights.
 *
 * <p>Thread safe. If a service does not echo the request ID in its responses, each job uses a
 * connection of its own.
 */
public final class PlainAdapter implements EndpointAdapter {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final int SLOTS = 64;
    private static final long STATE_TIMEOUT_MILLIS = 1_000;

    private final AsyncHttpClient mHttpClient;
    private final URI mBase;
    private final EndpointListener mListener;
    private final OpenExchanges mExchanges = new OpenExchanges();

    private PlainAdapter(AsyncHttpClient client, URI base, EndpointListener listener) {
        mHttpClient = client;
        mBase = base;
        mListener = listener;
    }

    /** Creates an adapter to the service at {@code base}. */
    public static PlainAdapter create(AsyncHttpClient client, URI base, EndpointListener listener) {
        return new PlainAdapter(client, base, listener);
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
                                        REQUEST_ID,
                                        id.toString()),
                                job.body(),
                                Math.max(1, job.timeoutMillis()))
                        .withCorrelation(Correlation.byHeader(REQUEST_ID, id.toString()));
        mExchanges.add(id, mHttpClient.send(request, new ResponseReader(id)));
    }

    @Override
    public void stop(AttemptId id) {
        mExchanges.cancel(id);
    }

    @Override
    public void requestState() {
        HttpRequest request =
                HttpRequest.of("GET", URI.create(mBase + "/"), STATE_TIMEOUT_MILLIS)
                        .withCorrelation(Correlation.byKind("state"));
        mHttpClient
                .request(request, "service.state")
                .thenAccept(
                        result -> {
                            if (result.isOk()) {
                                mListener.onState(0, SLOTS);
                            } else {
                                mListener.onUnreachable();
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
        mListener.onLoadFinished(version, Optional.of(fault));
    }

    /** Reads one response. Used by one I/O thread at a time. */
    private final class ResponseReader implements HttpResponseListener {
        private final AttemptId mId;
        private int mStatus;

        ResponseReader(AttemptId id) {
            mId = id;
        }

        @Override
        public void onHead(HttpResponseHead head) {
            mStatus = head.status();
        }

        @Override
        public void onData(byte[] data) {
            mListener.onPiece(mId, data, 0, 0);
        }

        @Override
        public void onEnd() {
            mExchanges.remove(mId);
            mListener.onEnd(mId, mStatus, "application/json");
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            mExchanges.remove(mId);
            mListener.onFailure(mId, sent, FaultCode.PEER_LOST, detail);
        }
    }
}
