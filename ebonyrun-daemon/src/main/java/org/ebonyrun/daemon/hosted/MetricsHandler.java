package org.ebonyrun.daemon.hosted;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.FrontListener;
import org.ebonyrun.ports.http.HttpHeaders;

/** Answers scrapes of the metrics. Thread safe: the text is made on the entry's duty. */
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
        // The text is made either way.
    }
}
