package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against the effects of requests that callers send before they have read any response. */
class RequestsAheadTest extends FrontServerFixture {
    private static final int REQUESTS = 200;
    private static final String REQUEST = "GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n";

    private final AtomicInteger mRun = new AtomicInteger();

    RequestsAheadTest() {
        super(FrontLimits.DEFAULT);
    }

    @Override
    void onRequest(FrontExchange exchange) {
        if (exchange.target().equals("/probe")) {
            super.onRequest(exchange);
            return;
        }
        mRun.incrementAndGet();
        exchange.closeAfterResponse();
        exchange.respond(200, HttpHeaders.empty(), new byte[0]);
    }

    @Test
    void requestsThatWereReadWithTheLastOneOfTheirConnectionAreNotRun() throws Exception {
        try (Socket socket = send(REQUEST.repeat(REQUESTS))) {
            awaitRead();

            assertThat(mRun.get(), is(1));
        }
    }
}
