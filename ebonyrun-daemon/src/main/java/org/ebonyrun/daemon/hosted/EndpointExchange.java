package org.ebonyrun.daemon.hosted;

import java.util.concurrent.Executor;
import org.ebonyrun.ports.http.HttpExchange;
import org.ebonyrun.ports.http.HttpHead;
import org.ebonyrun.ports.http.HttpListener;
import org.jspecify.annotations.Nullable;

/**
 * One request to an endpoint, as far as calls and samples have it in common.
 *
 * <p>The I/O thread takes the answer in and tells the entry's duty of it; the duty sets and cancels
 * the exchange.
 */
abstract class EndpointExchange implements HttpListener {
    private final Executor mExecutor;
    private @Nullable HttpExchange mExchange;

    /** The head of the answer; null until it has arrived. */
    @Nullable HttpHead mHead;

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

    final void cancel() {
        if (mExchange != null) {
            mExchange.cancel();
        }
    }

    /** Tells the entry's duty. */
    final void tell(Runnable task) {
        mExecutor.execute(task);
    }
}
