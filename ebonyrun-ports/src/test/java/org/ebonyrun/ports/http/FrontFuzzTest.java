package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whatever bytes callers send, the server goes on, and passes on only sound requests. */
class FrontFuzzTest extends FrontServerFixture {
    private static final FrontLimits LIMITS = new FrontLimits(400, 200, 1_000, 2_000);
    private static final int REQUESTS = 400;
    private static final List<String> VALID =
            List.of(
                    "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n",
                    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
                    "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "3\r\nabc\r\n0\r\n\r\n",
                    "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 2\r\n\r\nok");
    private static final List<String> TOKENS =
            List.of(
                    "\r\n",
                    "\n",
                    "\r",
                    " ",
                    "\t",
                    ":",
                    "\u0000",
                    "Content-Length: 9\r\n",
                    "Content-Length: -1\r\n",
                    "Content-Length: 99999999999999999999\r\n",
                    "Transfer-Encoding: chunked\r\n",
                    "Transfer-Encoding: x\r\n",
                    "0\r\n\r\n",
                    "ffffffffffff\r\n",
                    "HTTP/1.0",
                    "HTTP/9.9",
                    "%00",
                    "%zz",
                    "\\",
                    "//",
                    "..",
                    "Host: g\r\n",
                    "Connection: close\r\n",
                    "Upgrade: x\r\n",
                    "\u00e9",
                    ";=",
                    "*");

    FrontFuzzTest() {
        super(LIMITS);
    }

    private static String mutate(Random random) {
        StringBuilder text = new StringBuilder(VALID.get(random.nextInt(VALID.size())));
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(text.length() + 1);
            int end = Math.min(text.length(), at + random.nextInt(20));
            String token = TOKENS.get(random.nextInt(TOKENS.size()));
            switch (random.nextInt(4)) {
                case 0 -> text.replace(at, end, "");
                case 1 -> text.replace(at, end, token);
                case 2 -> text.insert(at, VALID.get(random.nextInt(VALID.size())));
                default -> text.insert(at, token);
            }
        }
        return text.toString();
    }

    /** Sends bytes in two pieces, and closes the connection. */
    private void sendAndClose(String text, Random random) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        int cut = random.nextInt(bytes.length + 1);
        try (Socket socket = send("")) {
            socket.getOutputStream().write(bytes, 0, cut);
            socket.getOutputStream().write(bytes, cut, bytes.length - cut);
            socket.shutdownOutput();
        } catch (SocketException ignored) {
            // The server may reset a connection with malformed bytes.
        }
    }

    private static boolean isVisibleAscii(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static void checkSound(FrontExchange exchange, String sent) {
        assertThat(sent, isVisibleAscii(exchange.method()), is(true));
        assertThat(sent, isVisibleAscii(exchange.target()), is(true));
        assertThat(sent, exchange.body().length, lessThanOrEqualTo(LIMITS.maxBodyBytes()));
        exchange.headers()
                .forEach(
                        (name, value) -> {
                            assertThat(sent, isVisibleAscii(name), is(true));
                            boolean split = value.indexOf('\n') >= 0 || value.indexOf('\r') >= 0;
                            assertThat(sent, split, is(false));
                        });
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void malformedRequestsLeaveTheServerSoundAndOthersServed(int seed) throws Exception {
        Random random = new Random(seed);
        for (int i = 0; i < REQUESTS; i++) {
            String text = mutate(random);
            sendAndClose(text, random);
            for (FrontExchange next = mRequests.poll(); next != null; next = mRequests.poll()) {
                checkSound(next, text);
                next.respond(200, HttpHeaders.empty(), bytes("x"));
            }
        }

        try (Socket socket = send("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")) {
            FrontExchange exchange = mRequests.take();
            while (!exchange.target().equals("/last")) {
                checkSound(exchange, "late");
                exchange.respond(200, HttpHeaders.empty(), bytes("x"));
                exchange = mRequests.take();
            }
            exchange.respond(200, HttpHeaders.empty(), bytes("served"));
            assertThat(readAll(socket).endsWith("served"), is(true));
        }
    }
}
