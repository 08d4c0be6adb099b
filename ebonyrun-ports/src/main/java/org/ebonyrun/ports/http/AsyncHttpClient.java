package org.ebonyrun.ports.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.jspecify.annotations.Nullable;

/**
 * An asynchronous HTTP client with kept-alive connections.
 *
 * <p>Thread safe. A request is written at most once; it is never repeated by this class. A listener
 * is given only the answer to its own sending of a request, as its call's {@link Correlation}
 * tells.
 */
public final class AsyncHttpClient implements AutoCloseable {
    /** How long a connection may take to open, in milliseconds. */
    public static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private final TCPNIOTransport mTransport;
    private final boolean mOwnsTransport;
    private final TCPNIOConnectorHandler mConnector;
    private final ConnectionPool mPool = new ConnectionPool();
    private final ScheduledThreadPoolExecutor mTimer;
    private final AtomicLong mOpened = new AtomicLong();

    private AsyncHttpClient(
            TCPNIOTransport transport, boolean ownsTransport, DroppedResponseListener observer) {
        mTransport = transport;
        mOwnsTransport = ownsTransport;
        mConnector =
                TCPNIOConnectorHandler.builder(transport)
                        .processor(
                                FilterChainBuilder.stateless()
                                        .add(new TransportFilter())
                                        .add(new HttpResponseParser(observer))
                                        .add(new ExchangeFilter(observer))
                                        .build())
                        .build();
        mTimer =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "http-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mTimer.setRemoveOnCancelPolicy(true);
    }

    /** Creates and starts a client with an I/O thread of its own. */
    public static AsyncHttpClient start() throws IOException {
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorRunnersCount(1)
                        .setSelectorThreadPoolConfig(
                                ThreadPoolConfig.defaultConfig()
                                        .setPoolName("http-client")
                                        .setCorePoolSize(1)
                                        .setMaxPoolSize(1)
                                        .setDaemon(true))
                        .setTcpNoDelay(true)
                        .build();
        transport.start();
        return new AsyncHttpClient(transport, true, DroppedResponseListener.none());
    }

    /**
     * Creates a client on the I/O thread of a running transport, which it does not stop.
     *
     * @param observer hears of answers that no request may take
     */
    public static AsyncHttpClient usingTransport(
            TCPNIOTransport transport, DroppedResponseListener observer) {
        return new AsyncHttpClient(transport, false, observer);
    }

    /** Sends a request and reports its response to {@code listener}. */
    public HttpExchange send(HttpRequest call, HttpResponseListener listener) {
        HttpExchange exchange = new HttpExchange(call, listener, mPool);
        if (call.timeoutMillis() > 0) {
            String detail = "timeout after " + call.timeoutMillis() + " ms";
            failAfter(exchange, call.timeoutMillis(), detail);
        }
        boolean begun = false;
        ClientConnection idle = takeIdle(call);
        while (idle != null && !begun) {
            begun = exchange.trySend(idle);
            idle = begun ? null : takeIdle(call);
        }
        if (!begun) {
            connect(call, exchange);
        }
        return exchange;
    }

    private @Nullable ClientConnection takeIdle(HttpRequest call) {
        return call.sharesConnection()
                ? mPool.take(call.address(), call.correlation(), System.nanoTime())
                : null;
    }

    private void connect(HttpRequest call, HttpExchange exchange) {
        exchange.setConnectTimeout(
                mTimer.schedule(
                        exchange::failIfNotConnected,
                        CONNECT_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS));
        mConnector.connect(
                call.address(),
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    @SuppressWarnings("rawtypes")
                    public void completed(Connection connection) {
                        long number = mOpened.incrementAndGet();
                        if (!exchange.trySend(
                                ClientConnection.open(connection, call.address(), number))) {
                            exchange.fail("connection closed");
                        }
                    }

                    @Override
                    public void failed(Throwable cause) {
                        exchange.fail("connect: " + cause.getMessage());
                    }
                });
    }

    private void failAfter(HttpExchange exchange, long millis, String detail) {
        exchange.setTimeout(
                mTimer.schedule(() -> exchange.fail(detail), millis, TimeUnit.MILLISECONDS));
    }

    /**
     * Sends a request and collects the whole response.
     *
     * @return a reply with any status, or a fault that tells whether the request may have left
     */
    public CompletableFuture<Result<HttpResponse>> request(HttpRequest call, String step) {
        CompletableFuture<Result<HttpResponse>> answer = new CompletableFuture<>();
        send(call, new Collector(call, step, answer));
        return answer;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mPool.clear();
        if (!mOwnsTransport) {
            return;
        }
        try {
            mTransport.shutdownNow();
        } catch (IOException ignored) {
            // The transport is gone either way.
        }
    }

    /** Collects a response. Used by one I/O thread at a time. */
    private static final class Collector implements HttpResponseListener {
        private final HttpRequest mCall;
        private final String mStep;
        private final CompletableFuture<Result<HttpResponse>> mAnswer;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private @Nullable HttpResponseHead mHead;

        Collector(HttpRequest call, String step, CompletableFuture<Result<HttpResponse>> answer) {
            mCall = call;
            mStep = step;
            mAnswer = answer;
        }

        @Override
        public void onHead(HttpResponseHead head) {
            mHead = head;
        }

        @Override
        public void onData(byte[] data) {
            mBody.writeBytes(data);
        }

        @Override
        public void onEnd() {
            int status = mHead == null ? 0 : mHead.status();
            mAnswer.complete(Result.ok(new HttpResponse(status, mBody.toByteArray())));
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            String peer = mCall.authority();
            Fault fault =
                    sent
                            ? Fault.unknown(FaultCode.PEER_LOST, mStep, peer, detail)
                            : Fault.notRun(FaultCode.PEER_LOST, mStep, peer, detail);
            mAnswer.complete(Result.err(fault));
        }
    }
}
