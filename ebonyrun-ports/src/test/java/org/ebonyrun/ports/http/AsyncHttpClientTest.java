package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.DroppedResponse.Reason;
import org.ebonyrun.ports.http.ScriptedServer.Received;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class AsyncHttpClientTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final String LOST = "lost";

    private final BlockingQueue<DroppedResponse> mDropped = new LinkedBlockingQueue<>();
    private volatile Runnable mAfterDropped = () -> {};
    private TCPNIOTransport mTransport;
    private AsyncHttpClient mClient;
    private ScriptedServer mServer;

    @BeforeEach
    void start() throws IOException {
        mTransport = TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        mTransport.start();
        mClient = AsyncHttpClient.usingTransport(mTransport, this::onDropped);
        mServer = ScriptedServer.start();
    }

    @AfterEach
    void stop() throws IOException {
        mClient.close();
        mTransport.shutdownNow();
        mServer.close();
    }

    private void onDropped(DroppedResponse response) {
        mDropped.add(response);
        mAfterDropped.run();
    }

    private HttpRequest request(String method, Correlation correlation) {
        HttpHeaders headers =
                correlation.id().isEmpty()
                        ? HttpHeaders.empty()
                        : HttpHeaders.of("X-Id", correlation.id());
        return new HttpRequest(
                method, mServer.address(), "/", headers, new byte[0], TIMEOUT_MILLIS, correlation);
    }

    private CompletableFuture<String> send(Correlation correlation) {
        return send("GET", correlation);
    }

    private CompletableFuture<String> send(String method, Correlation correlation) {
        return mClient.request(request(method, correlation), "test")
                .thenApply(AsyncHttpClientTest::text);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Any: a\rX-Other: b",
                "X-Any: a\u0000b",
                "X Any: 1",
                "X-Any: a\u007fb",
                "X\u0001: 1"
            })
    void aResponseWithAMalformedHeaderIsNoResponse(String header) throws Exception {
        CompletableFuture<String> response = send(Correlation.byHeader("X-Id", "1"));
        String head = "HTTP/1.1 200 X\r\nX-Id: 1\r\n" + header + "\r\nContent-Length: 2\r\n\r\n";
        mServer.next().connection().write(head + "ok");

        assertThat(response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), startsWith(LOST));
    }

    // A server in trouble sent status 000, which counted as an answer.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "007", "099", "100", "103", "199", "600", "999", "0", "20", "2000", "-20",
                "2x0", ""
            })
    void aResponseWithoutAStatusOfHttpIsNoResponse(String status) throws Exception {
        CompletableFuture<String> response = send(Correlation.byHeader("X-Id", "1"));
        String head = "HTTP/1.1 " + status + " X\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n";
        mServer.next().connection().write(head + "ok");

        String text = response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(text, startsWith(LOST));
        assertThat(text, not(containsString("timeout")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"200 X", "200 ", "200", "200  X Y", "200 0", "599 X"})
    void anyReasonPhraseOrNoneMayFollowAStatus(String status) throws Exception {
        CompletableFuture<String> response = send(Correlation.byHeader("X-Id", "1"));
        String head = "HTTP/1.1 " + status + "\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n";
        mServer.next().connection().write(head + "ok");

        String expected = status.substring(0, 3) + " ok";
        assertThat(response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(expected));
    }

    /** Bytes that a server in trouble sends until its client closes the connection. */
    enum EndlessResponse {
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        HEADER_LINE("HTTP/1.1 200 X\r\nX-Id: 1\r\nX-Any: ", "x"),
        HEADERS("HTTP/1.1 200 X\r\nX-Id: 1\r\n", "X-Any: 1\r\n"),
        BODY_UNTIL_CLOSE("HTTP/1.1 200 X\r\nX-Id: 1\r\n\r\n", "x"),
        BODY_WITH_LENGTH("HTTP/1.1 200 X\r\nX-Id: 1\r\nContent-Length: 99999999999\r\n\r\n", "x"),
        CHUNKS("HTTP/1.1 200 X\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 X\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;e=", "x"),
        TRAILERS(
                "HTTP/1.1 200 X\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Any: 1\r\n"),
        NO_RESPONSE("", "x"),
        EMPTY_LINES("", "\r\n");

        private final String mBegin;
        private final String mRepeated;

        EndlessResponse(String begin, String repeated) {
            mBegin = begin;
            mRepeated = repeated;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aResponseWithoutEndEndsItsRequestAndItsConnection(EndlessResponse kind) throws Exception {
        HttpRequest request =
                request("GET", Correlation.byHeader("X-Id", "1")).withMaxResponseBytes(1 << 20);
        CompletableFuture<String> response =
                mClient.request(request, "test").thenApply(AsyncHttpClientTest::text);
        Received received = mServer.next();
        long written = received.connection().writeUntilClosed(kind.mBegin, kind.mRepeated);

        String text = response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(text, startsWith(LOST));
        assertThat(text, not(containsString("timeout")));
        // The limit, and what the buffers of both sockets hold.
        assertThat(written, lessThan(32L << 20));
    }

    @Test
    void aResponseWithinItsLimitIsWhole() throws Exception {
        HttpRequest request =
                request("GET", Correlation.byHeader("X-Id", "1")).withMaxResponseBytes(4);
        CompletableFuture<String> response =
                mClient.request(request, "test").thenApply(AsyncHttpClientTest::text);
        mServer.next().answer("1");

        assertThat(response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is("200 to 1"));
    }

    /** Sends a request and ignores its response. */
    private HttpExchange sendIgnoringResponse(String id) {
        HttpResponseListener ignored =
                new HttpResponseListener() {
                    @Override
                    public void onHead(HttpResponseHead head) {}

                    @Override
                    public void onData(byte[] data) {}

                    @Override
                    public void onEnd() {}

                    @Override
                    public void onFailure(boolean sent, String detail) {}
                };
        return mClient.send(request("GET", Correlation.byHeader("X-Id", id)), ignored);
    }

    private CompletableFuture<String> send(String id) {
        return send(Correlation.byHeader("X-Id", id));
    }

    private static String text(Result<HttpResponse> result) {
        return result.fold(
                response -> response.status() + " " + response.text(),
                fault -> (fault.isNotRun() ? "not sent" : LOST) + ": " + fault.detail());
    }

    /** Sends a request, answers it and returns it as the server received it. */
    private Received exchange(String id) throws Exception {
        CompletableFuture<String> response = send(id);
        Received received = mServer.next();
        received.answer(id);
        assertThat(response.get(), is("200 to " + id));
        return received;
    }

    private DroppedResponse dropped() throws InterruptedException {
        DroppedResponse dropped = mDropped.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat("a response was dropped", dropped != null);
        return dropped;
    }

    @Test
    void reusesIdleConnection() throws Exception {
        Received first = exchange("a");
        Received second = exchange("b");

        assertThat(second.connection(), is(first.connection()));
    }

    @Test
    void skipsResponseToAnotherRequest() throws Exception {
        Received first = exchange("a");
        CompletableFuture<String> response = send("b");
        Received second = mServer.next();
        second.answer("a");
        second.answer("b");

        assertThat(second.connection(), is(first.connection()));
        assertThat(response.get(), is("200 to b"));
        DroppedResponse dropped = dropped();
        assertThat(dropped.awaitedId(), is("b"));
        assertThat(dropped.reason(), is(Reason.OTHER_REQUEST));
        assertThat(dropped.head().headers().first("X-Id").orElse(""), is("a"));
        assertThat(dropped.connectionUse().requests(), is(2));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 204 X\r\nX-Id: a\r\n\r\n",
                "HTTP/1.1 304 X\r\nX-Id: a\r\n\r\n",
                "HTTP/1.1 200 X\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 X\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\nto a\r\n0\r\nX-Id: b\r\n\r\n"
            })
    void skipsResponseToAnotherRequestWithAnyFraming(String other) throws Exception {
        exchange("a");
        CompletableFuture<String> response = send("b");
        Received second = mServer.next();
        second.connection().write(other + other + ScriptedServer.response(200, "b"));

        assertThat(response.get(), is("200 to b"));
    }

    @Test
    void doesNotReuseConnectionOfHeadRequest() throws Exception {
        CompletableFuture<String> response = send("HEAD", Correlation.byHeader("X-Id", "a"));
        Received first = mServer.next();
        first.connection().write("HTTP/1.1 200 X\r\nX-Id: a\r\nContent-Length: 9\r\n\r\n");

        assertThat(response.get(), is("200 "));
        assertThat(exchange("b").connection(), is(not(first.connection())));
    }

    @Test
    void doesNotReuseConnectionAfterResponseToAnotherRequest() throws Exception {
        Received first = exchange("a");
        CompletableFuture<String> response = send("b");
        Received second = mServer.next();
        second.answer("a");
        second.answer("b");
        response.get();
        first.connection().awaitEnd();

        assertThat(exchange("c").connection(), is(not(first.connection())));
    }

    @Test
    void skipsResponseToAnotherRequestWhoseHeadArrivesInTwoParts() throws Exception {
        Received first = exchange("a");
        CompletableFuture<String> response = send("b");
        Received second = mServer.next();
        String again = ScriptedServer.response(200, "a");
        second.connection().write(again.substring(0, 20));
        second.connection().write(again.substring(20));
        second.answer("b");

        assertThat(second.connection(), is(first.connection()));
        assertThat(response.get(), is("200 to b"));
    }

    @Test
    void sendsEachIdAtMostOnceOnAConnection() throws Exception {
        Received first = exchange("a");
        Received other = exchange("b");
        Received again = exchange("a");

        assertThat(other.connection(), is(first.connection()));
        assertThat(again.connection(), is(not(first.connection())));
    }

    @Test
    void repeatedIdDoesNotFillThePool() throws Exception {
        for (int i = 0; i < 3; i++) {
            Received earlier = exchange("a");
            Received later = exchange("a");
            earlier.connection().awaitEnd();

            assertThat(exchange("b" + i).connection(), is(later.connection()));
        }
    }

    @Test
    void closesExpiredConnectionsToUnusedAddresses() throws Exception {
        CompletableFuture<String> response = send("a");
        Received first = mServer.next();
        first.connection()
                .write(
                        "HTTP/1.1 200 X\r\n"
                                + "X-Id: a\r\n"
                                + "Keep-Alive: timeout=0\r\n"
                                + "Content-Length: 0\r\n\r\n");
        response.get();
        ScriptedServer unused = mServer;
        mServer = ScriptedServer.start();
        for (int i = 0; i < 300; i++) {
            exchange("b" + i);
        }

        first.connection().awaitEnd();
        unused.close();
    }

    @Test
    void unsolicitedBytesCloseTheConnection() throws Exception {
        Received first = exchange("a");
        first.connection().write("HTTP/1.1 2");
        first.connection().awaitEnd();

        assertThat(dropped().reason(), is(Reason.NOTHING_ASKED));
        assertThat(exchange("b").connection(), is(not(first.connection())));
    }

    @Test
    void doesNotSendOnConnectionClosedByUnsolicitedBytes() throws Exception {
        Received first = exchange("a");
        CompletableFuture<CompletableFuture<String>> response = new CompletableFuture<>();
        mAfterDropped = () -> response.complete(send("b"));
        first.connection().write("HTTP/1.1 2");
        Received second = mServer.next();
        second.answer("b");

        assertThat(response.get().get(), is("200 to b"));
        assertThat(second.connection(), is(not(first.connection())));
    }

    @Test
    void bytesAfterTheResponseCloseTheConnection() throws Exception {
        CompletableFuture<String> response = send("a");
        Received first = mServer.next();
        first.connection().write(ScriptedServer.response(200, "a") + "HTTP/1.1 2");
        first.connection().awaitEnd();

        assertThat(response.get(), is("200 to a"));
        assertThat(dropped().reason(), is(Reason.NOTHING_ASKED));
        assertThat(exchange("b").connection(), is(not(first.connection())));
    }

    @Test
    void acceptsResponseWithoutIdOnNewConnection() throws Exception {
        CompletableFuture<String> response = send("a");
        Received first = mServer.next();
        first.connection().write(ScriptedServer.responseWithoutId(503));

        assertThat(response.get(), is("503 to nobody"));
        first.connection().awaitEnd();
        assertThat(exchange("b").connection(), is(not(first.connection())));
    }

    @Test
    void dropsResponseWithoutIdOnReusedConnection() throws Exception {
        Received first = exchange("a");
        CompletableFuture<String> response = send("b");
        mServer.next().connection().write(ScriptedServer.responseWithoutId(503));

        assertThat(response.get(), containsString(LOST));
        first.connection().awaitEnd();
        assertThat(dropped().reason(), is(Reason.UNNAMED));
    }

    @Test
    void requestWithoutIdUsesItsOwnConnection() throws Exception {
        Received first = exchange("a");
        CompletableFuture<String> response = send(Correlation.byConnection());
        Received unnamed = mServer.next();
        unnamed.connection().write(ScriptedServer.responseWithoutId(200));

        assertThat(response.get(), is("200 to nobody"));
        assertThat(unnamed.connection(), is(not(first.connection())));
        unnamed.connection().awaitEnd();
    }

    @Test
    void requestsOfOneKindShareConnectionsOnlyAmongThemselves() throws Exception {
        Received named = exchange("a");
        CompletableFuture<String> response = send(Correlation.byKind("state"));
        Received first = mServer.next();
        first.connection().write(ScriptedServer.responseWithoutId(200));
        response.get();
        CompletableFuture<String> again = send(Correlation.byKind("state"));
        Received second = mServer.next();
        second.connection().write(ScriptedServer.responseWithoutId(200));

        assertThat(again.get(), is("200 to nobody"));
        assertThat(first.connection(), is(not(named.connection())));
        assertThat(second.connection(), is(first.connection()));
        assertThat(exchange("b").connection(), is(named.connection()));
    }

    @Test
    void responseToCancelledRequestIsNotReported() throws Exception {
        CompletableFuture<String> other = send("a");
        Received received = mServer.next();
        received.answer("a");
        other.get();
        HttpExchange cancelled = sendIgnoringResponse("b");
        Received second = mServer.next();
        cancelled.cancel();
        second.connection().write(ScriptedServer.response(200, "b"));
        second.connection().awaitEnd();
        exchange("c");

        assertThat(mDropped.isEmpty(), is(true));
    }

    @Test
    void failsIfTheConnectionEndsWithResponseToAnotherRequest() throws Exception {
        exchange("a");
        CompletableFuture<String> response = send("b");
        Received second = mServer.next();
        second.connection().write("HTTP/1.1 200 X\r\nX-Id: a\r\n\r\nto b");
        second.connection().close();

        assertThat(response.get(), containsString(LOST));
    }

    @Test
    void failsAfterTooManyResponsesToOtherRequests() throws Exception {
        exchange("a");
        CompletableFuture<String> response = send("b");
        Received second = mServer.next();
        for (int i = 0; i < 20 && !response.isDone(); i++) {
            second.connection().write(ScriptedServer.response(200, "a"));
        }

        assertThat(response.get(), containsString(LOST));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 X\r\nX-Id: a\r\n",
                "HTTP/1.1 200 X\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nto a",
                "HTTP/1.1 200 X\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nto a\r\n",
                "HTTP/1.1 200 X\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nto a"
            })
    void truncatedResponseFails(String cut) throws Exception {
        CompletableFuture<String> response = send("a");
        Received received = mServer.next();
        received.connection().write(cut);
        received.connection().close();

        assertThat(response.get(), containsString(LOST));
    }

    @Test
    void responseWithoutLengthFailsAfterReset() throws Exception {
        CompletableFuture<String> response = send("a");
        Received received = mServer.next();
        received.connection().write("HTTP/1.1 200 X\r\nX-Id: a\r\n\r\nto a");
        received.connection().reset();

        assertThat(response.get(), containsString(LOST));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503",
                "HTTP/1.1 503 X",
                "HTTP/1.1 503 X\r\n",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1\r",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-I",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id:",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: a",
                "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: a\r\n"
            })
    void failsIfTruncatedHeadIsFollowedByAnotherResponse(String cut) throws Exception {
        exchange("a");
        CompletableFuture<String> response = send("b");
        Received second = mServer.next();
        String head = "HTTP/1.1 200 X\r\nDate: today\r\nX-Id: b\r\n";
        second.connection().write(cut + head + "Content-Length: 4\r\n\r\nto b");
        second.connection().close();

        assertThat(response.get(), containsString(LOST));
    }
}
