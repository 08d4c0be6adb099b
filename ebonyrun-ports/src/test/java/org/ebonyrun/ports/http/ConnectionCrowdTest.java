package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the requests of some callers against the connections of many others. */
class ConnectionCrowdTest extends FrontServerFixture {
    private static final int LIMIT = 4;
    private static final String REQUEST =
            "GET /call HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    ConnectionCrowdTest() {
        super(FrontLimits.DEFAULT);
    }

    @Override
    ConnectionLimit connectionLimit() {
        return new ConnectionLimit(LIMIT);
    }

    @Test
    void callersAreServedBesideConnectionsWithoutARequest() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try (Socket first = send(REQUEST)) {
            FrontExchange pending = mRequests.take();
            for (int i = 0; i < 10 * LIMIT; i++) {
                silent.add(send(i % 2 == 0 ? "" : "GET /never"));
            }
            try (Socket second = send(REQUEST)) {
                mRequests.take().respond(200, HttpHeaders.empty(), bytes("second"));
                assertThat(readAll(second), endsWith("second"));
            }
            assertThat(mServer.connectionCount(), is(lessThanOrEqualTo(LIMIT)));
            pending.respond(200, HttpHeaders.empty(), bytes("first"));
            assertThat(readAll(first), endsWith("first"));
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test
    void aConnectionWithARequestNeverEndsForAnother() throws Exception {
        List<Socket> callers = new ArrayList<>();
        List<FrontExchange> pending = new ArrayList<>();
        for (int i = 0; i < LIMIT; i++) {
            callers.add(send(REQUEST));
            pending.add(mRequests.take());
        }
        try (Socket refused = send("")) {
            // Closed without an answer, as nothing was read from it.
            assertThat(refused.getInputStream().read(), is(-1));
        }
        pending.forEach(exchange -> exchange.respond(200, HttpHeaders.empty(), bytes("done")));
        for (Socket caller : callers) {
            assertThat(readAll(caller), endsWith("done"));
            caller.close();
        }
    }
}
