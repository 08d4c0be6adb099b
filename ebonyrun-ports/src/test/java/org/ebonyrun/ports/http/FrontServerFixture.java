package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs a front server on loopback whose requests the test answers, and connects to it. */
abstract class FrontServerFixture {
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    final BlockingQueue<FrontExchange> mRequests = new LinkedBlockingQueue<>();
    final CountDownLatch mAbandoned = new CountDownLatch(1);
    FrontServer mServer;
    private final FrontLimits mLimits;
    final FrontMemory mMemory;
    private TCPNIOTransport mTransport;
    private InetSocketAddress mAddress;

    FrontServerFixture(FrontLimits limits) {
        this(limits, FrontMemory.unlimited());
    }

    FrontServerFixture(FrontLimits limits, FrontMemory memory) {
        mLimits = limits;
        mMemory = memory;
    }

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mAddress = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
        // One I/O thread, as in the entry.
        mTransport =
                TCPNIOTransportBuilder.newInstance()
                        .setSelectorRunnersCount(1)
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .build();
        mTransport.start();
        FrontListener listener =
                new FrontListener() {
                    @Override
                    public void onRequest(FrontExchange exchange) {
                        FrontServerFixture.this.onRequest(exchange);
                    }

                    @Override
                    public void onAbandoned(FrontExchange exchange) {
                        mAbandoned.countDown();
                    }
                };
        mServer =
                FrontServer.bind(
                        mTransport,
                        mAddress,
                        listener,
                        () -> mLimits,
                        mMemory,
                        this::connectionLimit);
    }

    /** Returns how many connections the server accepts. */
    ConnectionLimit connectionLimit() {
        return ConnectionLimit.none();
    }

    /** Handles a request; called on the I/O thread. */
    void onRequest(FrontExchange exchange) {
        mRequests.add(exchange);
    }

    @AfterEach
    void stop() throws IOException {
        mTransport.shutdownNow();
    }

    final int port() {
        return mAddress.getPort();
    }

    /** Opens a connection and sends text on it. */
    final Socket send(String text) throws IOException {
        Socket socket = new Socket(mAddress.getHostString(), mAddress.getPort());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        socket.getOutputStream().write(bytes(text));
        return socket;
    }

    /**
     * Returns once the server has read all bytes that were sent before. The I/O thread may read
     * connections that are ready at the same time in any order, but has read all of them before it
     * reads the second probe.
     */
    final void awaitRead() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (Socket probe = send("GET /probe HTTP/1.1\r\nHost: h\r\n\r\n")) {
                assertThat(mRequests.take().target(), is("/probe"));
            }
        }
    }

    /** Reads until the server closes the connection. */
    static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
