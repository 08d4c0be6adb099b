package org.ebonyrun.standin.loopback;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Sends malformed requests to an entry over HTTP. Each gets an error with a stable code, and other
 * callers are not affected.
 */
@Timeout(60)
class EntryHttpTest {
    private static LoopbackFleet sFleet;

    @BeforeAll
    static void start() throws IOException {
        sFleet = new LoopbackFleet();
    }

    @AfterAll
    static void stop() {
        sFleet.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "POST|/v1/calls/lookup|application/json|{|400|bad-request",
                "POST|/v1/calls/lookup|application/json|[]|400|bad-request",
                "POST|/v1/calls/lookup|application/json|{\"prompt\":1}|400|bad-request",
                "POST|/v1/calls/lookup|application/json|{\"prompt\":\"a\"} x|400|bad-request",
                "POST|/v1/calls/lookup|text/plain|{\"prompt\":\"a\"}|415|unsupported-type",
                "GET|/v1/calls/lookup|application/json|``|400|bad-request",
                "POST|/v1/calls/nope|application/json|{}|404|not-found",
                "POST|/v1/calls/rollout|application/json|{}|404|not-found",
                "POST|/v1/calls/%20|application/json|{}|404|not-found",
                "PUT|/v1/trainers/t/steps/1|application/json|{\"class\":\"lookup\",\"version\":1,"
                        + "\"groups\":[{\"prompt\":\"p\",\"samples\":1,\"max_tokens\":1}]}"
                        + "|404|not-found",
                "PUT|/v1/trainers/t/steps/1|application/json|{\"class\":\"rollout\"}"
                        + "|400|bad-request",
                "PUT|/v1/trainers/t/steps/-1|application/json|{}|404|not-found",
                "PUT|/v1/trainers/t/steps/x|application/json|{}|404|not-found",
                "POST|/v1/trainers/t/steps/1/pull|application/json|{\"cursor\":\"zz\"}"
                        + "|400|bad-request",
                "POST|/v1/trainers/t/steps/99/pull|application/json|{}|404|not-found",
                "PATCH|/v1/trainers/t/steps/1|application/json|{}|400|bad-request"
            })
    void malformedRequestsGetStableErrorCodes(
            String method, String path, String type, String body, int status, String code) {
        HttpResponse response =
                sFleet.send(method, path, Map.of("Content-Type", type), body).orThrow();
        assertThat(response.text(), containsString("\"code\":\"" + code + "\""));
        assertThat(response.text(), containsString("\"outcome\":\"not-run\""));
        assertThat(response.status(), is(status));
    }

    @Test
    void oversizedBodiesAreRefused() {
        String body = "{\"prompt\":\"" + "x".repeat(70_000) + "\"}";
        assertThat(sFleet.call(body).orThrow().status(), is(413));
    }

    @Test
    void malformedUtf8IsRefused() throws IOException {
        byte[] body = {'{', '"', (byte) 0xff, '"', ':', '1', '}'};
        try (Socket socket = new Socket(LoopbackFleet.HOST, sFleet.mEntry.httpPort())) {
            OutputStream out = socket.getOutputStream();
            out.write(requestHead(body.length).getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            assertThat(readLine(socket), startsWith("HTTP/1.1 400"));
        }
    }

    @Test
    void slowAndHalfClosedConnectionsDoNotAffectOtherCallers() throws IOException {
        Socket[] slow = new Socket[64];
        for (int i = 0; i < slow.length; i++) {
            slow[i] = new Socket(LoopbackFleet.HOST, sFleet.mEntry.httpPort());
            OutputStream out = slow[i].getOutputStream();
            out.write((requestHead(1_000) + "{").getBytes(StandardCharsets.US_ASCII));
            out.flush();
            if (i % 2 == 0) {
                slow[i].shutdownOutput();
            }
        }
        HttpResponse response = sFleet.call("{\"prompt\":\"mine\",\"max_tokens\":3}").orThrow();
        assertThat(response.text(), containsString(":mine t0 t1 t2"));
        for (Socket socket : slow) {
            socket.close();
        }
    }

    private static String requestHead(int length) {
        return "POST /v1/calls/lookup HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                + "Content-Length: "
                + length
                + "\r\n\r\n";
    }

    private static String readLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        int c = socket.getInputStream().read();
        while (c >= 0 && c != '\r') {
            line.append((char) c);
            c = socket.getInputStream().read();
        }
        return line.toString();
    }
}
