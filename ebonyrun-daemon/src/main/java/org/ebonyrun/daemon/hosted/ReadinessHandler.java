package org.ebonyrun.daemon.hosted;

import java.util.function.BooleanSupplier;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.FrontListener;
import org.ebonyrun.ports.http.HttpHeaders;

/** Responds to the platform's readiness probes. Thread safe. */
final class ReadinessHandler implements FrontListener {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier mReady;

    ReadinessHandler(BooleanSupplier ready) {
        mReady = ready;
    }

    @Override
    public void onRequest(FrontExchange exchange) {
        int status = mReady.getAsBoolean() ? OK : UNAVAILABLE;
        exchange.respond(status, HttpHeaders.empty(), new byte[0]);
    }

    @Override
    public void onAbandoned(FrontExchange exchange) {
        // Nothing to cancel: requests are served at once.
    }
}
