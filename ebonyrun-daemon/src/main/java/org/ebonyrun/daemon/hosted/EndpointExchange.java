package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.LimitNotice;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.ConnectionUse;
import org.ebonyrun.ports.http.HttpExchange;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.ebonyrun.ports.http.HttpResponseListener;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request to an endpoint: the common part of calls and sample runs.
 *
 * <p>The I/O thread receives the response and forwards it to the entry's event loop. The exchange
 * is set before anything is sent.
 */
abstract class EndpointExchange implements HttpResponseListener {
    private final EndpointRecord mEndpoint;
    private final boolean mLimited;
    private final HostedContext mContext;
    private final long mCreatedAt = System.nanoTime();
    private @Nullable HttpExchange mExchange;
    private volatile long mHeadAt;

    /** The head of the response; null until it has arrived. */
    @Nullable HttpResponseHead mHead;

    /**
     * Creates the exchange before its request is sent.
     *
     * @param endpoint the endpoint to which the request is sent
     */
    EndpointExchange(Endpoint endpoint, HostedContext context) {
        mEndpoint = endpoint.record();
        mLimited = endpoint.isLimited();
        mContext = context;
    }

    /** Returns the ID of the endpoint to which the request is sent. */
    final String endpointId() {
        return mEndpoint.id();
    }

    /** Returns the name of the incarnation to which the request is sent. */
    final String lifeName() {
        return mEndpoint.lifeName();
    }

    /** Returns the record that the endpoint had when the request was sent. */
    final EndpointRecord endpoint() {
        return mEndpoint;
    }

    /** Returns when the request was about to be sent, in nanoseconds of the monotonic clock. */
    final long createdAt() {
        return mCreatedAt;
    }

    /** Returns how long after the request the head arrived; -1 if it has not. */
    final long headMillis() {
        return mHead == null ? -1 : Nanos.toMillis(mHeadAt - mCreatedAt);
    }

    /** Called on the I/O thread when the head of the response has arrived. */
    abstract void handleHead(HttpResponseHead head);

    @Override
    public final void onHead(HttpResponseHead head) {
        mHead = head;
        mHeadAt = System.nanoTime();
        if (EndpointProtocol.announcesLeaving(head.headers(), mEndpoint.id())) {
            runOnEventLoop(() -> mContext.onEndpointLeaving(mEndpoint));
        }
        LimitNotice notice =
                EndpointProtocol.limitNotice(head.status(), head.headers(), mEndpoint.id());
        if (mLimited || notice.isLimit()) {
            runOnEventLoop(() -> mContext.onLimitNotice(mEndpoint, notice, mCreatedAt));
        }
        handleHead(head);
    }

    @Override
    public void onStart(HttpExchange exchange) {
        mExchange = exchange;
    }

    private ConnectionUse connectionUse() {
        return mExchange == null ? ConnectionUse.NONE : mExchange.connectionUse();
    }

    final void cancel() {
        if (mExchange != null) {
            mExchange.cancel();
        }
    }

    /** Adds the ID and the use of the request's connection to a log line. */
    final LogLine withConnection(LogLine line) {
        ConnectionUse use = connectionUse();
        return line.with("connection", use.connection())
                .with("connection_requests", use.requests())
                .with("connection_idle_ms", use.idleMillis());
    }

    /** Adds an endpoint's limit, and how many requests it was sent, if it has a limit. */
    static LogLine withLimit(LogLine line, Endpoint endpoint) {
        return endpoint.isLimited()
                ? line.with("limit", endpoint.requestsPerSecond())
                        .with("requests", endpoint.requestCount())
                : line;
    }

    /** Runs a task on the entry's event loop. */
    final void runOnEventLoop(Runnable task) {
        mContext.executor().execute(task);
    }
}
