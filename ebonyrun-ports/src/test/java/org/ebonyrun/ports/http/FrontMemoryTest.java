package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.memory.BodyAdmission;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies that each are within their limit and together exhaust the memory. */
class FrontMemoryTest extends FrontMemoryFixture {
    private static final String WITH_LENGTH_NAME = "length";
    private static final String CHUNKED_NAME = "chunks";

    FrontMemoryTest() {
        super(new BodyAdmission(Nanos.ofMillis(3_600_000), 2));
    }

    private void awaitNothingHeld() throws Exception {
        awaitTrue(() -> mMemory.account().held() == 0, () -> {});
    }

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH_NAME, CHUNKED_NAME})
    void aBodyWaitsUntilThereIsMemoryAndIsThenServed(String framing) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            sockets.add(send(WITH_LENGTH));
        }
        awaitTrue(() -> mLarge.size() == 2, () -> {});
        sockets.add(send(framing.equals(CHUNKED_NAME) ? CHUNKED : WITH_LENGTH));
        // Small requests, the probes, are served while a large one waits.
        awaitTrue(() -> mServer.waitingCount() == 1, () -> {});
        mServer.resumeWaiting();
        assertThat(mServer.waitingCount(), is(1));
        for (int i = 0; i < 2; i++) {
            mLarge.remove(0).respond(200, HttpHeaders.empty(), bytes("done"));
        }
        awaitTrue(() -> mLarge.size() == 1, mServer::resumeWaiting);
        assertThat(mLarge.get(0).body(), is(bytes(BODY)));
        mLarge.remove(0).respond(200, HttpHeaders.empty(), bytes("done"));
        for (Socket socket : sockets) {
            socket.shutdownOutput();
            assertThat(readAll(socket), endsWith("\r\n\r\ndone"));
            socket.close();
        }
        awaitNothingHeld();
        assertThat(mServer.waitingCount(), is(0));
    }

    @Test
    void aBodyForWhichTooManyWaitIsRefusedWithATimeToComeBack() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sockets.add(send(WITH_LENGTH));
        }
        awaitTrue(() -> mServer.waitingCount() == 2, () -> {});
        try (Socket refused = send(WITH_LENGTH)) {
            String response = readAll(refused);
            assertThat(response, startsWith("HTTP/1.1 503"));
            assertThat(response, containsString("Retry-After: 0.5"));
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        awaitTrue(
                () -> mMemory.account().held() == 0 && mServer.waitingCount() == 0,
                mServer::resumeWaiting);
    }

    @Test
    void requestsFarBehindOneThatWaitsAreDroppedAndTheConnectionEnds() throws Exception {
        MemoryClaim others = mMemory.account().open(MemoryClass.STEP);
        others.grow(LIMIT);
        int served = FrontConnection.MAX_WAITING + 1;
        try (Socket socket = send("GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n".repeat(10 * served))) {
            while (mServer.waitingCount() == 0) {
                Thread.onSpinWait();
            }
            others.release();
            int[] answered = {0};
            awaitTrue(
                    () -> answered[0] == served,
                    () -> {
                        mServer.resumeWaiting();
                        answered[0] += mLarge.size();
                        mLarge.forEach(
                                exchange ->
                                        exchange.respond(200, HttpHeaders.empty(), bytes("done")));
                        mLarge.clear();
                    });

            assertThat(readAll(socket).split("HTTP/1.1 200", -1).length - 1, is(served));
        }
        awaitNothingHeld();
    }

    @Test
    void aBodyThatFitsAtNoTimeIsRefusedForGoodAtItsHead() throws Exception {
        String head = "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n";
        try (Socket socket = send(head)) {
            assertThat(readAll(socket), startsWith("HTTP/1.1 413"));
        }
        assertThat(mMemory.account().held(), is(0L));
    }

    @Test
    void fieldsThatFollowABodyAreNotHeaders() throws Exception {
        String request =
                "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n";
        try (Socket socket = send(request)) {
            awaitRead();
            socket.getOutputStream().write(bytes("0\r\nX-Model: other\r\n\r\n"));
            FrontExchange exchange = mRequests.take();
            assertThat(exchange.headers().first("X-Model").isPresent(), is(false));
            exchange.respond(200, HttpHeaders.empty(), new byte[0]);
        }
    }
}
