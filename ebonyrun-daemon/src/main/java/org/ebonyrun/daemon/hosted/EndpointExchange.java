package org.ebonyrun.daemon.hosted;

import java.util.concurrent.Executor;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.ports.http.ConnectionUse;
import org.ebonyrun.ports.http.HttpExchange;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.ebonyrun.ports.http.HttpResponseListener;
import org.jspecify.annotations.Nullable;

/**
 * One request to an endpoint, as far as calls and samples have it in common.
 *
 * <p>The I/O thread takes the answer in and tells the entry's duty of it; the duty sets and cancels
 * the exchange.
 */
abstract class EndpointExchange implements HttpResponseListener {
    private final Executor mExecutor;
    private @Nullable HttpExchange mExchange;

    /** The head of the answer; null until it has arrived. */
    @Nullable HttpResponseHead mHead;

    /**
     * Prepares a request.
     *
     * @param executor runs what is told on the entry's duty
     */
    EndpointExchange(Executor executor) {
        mExecutor = executor;
    }

    final void setExchange(HttpExchange exchange) {
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

    /** Adds to a line which connection carried the request. */
    final LogLine withConnection(LogLine line) {
        ConnectionUse use = connectionUse();
        return line.with("connection", use.connection())
                .with("connection_requests", use.requests())
                .with("connection_idle_ms", use.idleMillis());
    }

    /** Tells the entry's duty. */
    final void runOnEventLoop(Runnable task) {
        mExecutor.execute(task);
    }
}
