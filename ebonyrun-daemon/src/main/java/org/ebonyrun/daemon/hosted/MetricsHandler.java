package org.ebonyrun.daemon.hosted;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.FrontListener;
import org.ebonyrun.ports.http.HttpHeaders;

/** Serves metric scrapes. Thread safe: the text is generated on the entry's event loop. */
final class MetricsHandler implements FrontListener {
    private static final int OK = 200;
    private static final HttpHeaders TEXT =
            HttpHeaders.of("Content-Type", "text/plain; version=0.0.4; charset=utf-8");

    private final Executor mExecutor;
    private final Supplier<byte[]> mText;

    MetricsHandler(Executor executor, Supplier<byte[]> text) {
        mExecutor = executor;
        mText = text;
    }

    @Override
    public void onRequest(FrontExchange exchange) {
        mExecutor.execute(() -> exchange.respond(OK, TEXT, mText.get()));
    }

    @Override
    public void onAbandoned(FrontExchange exchange) {
        // Nothing to cancel: the queued task still responds, without effect.
    }
}
