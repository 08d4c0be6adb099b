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
import org.jspecify.annotations.Nullable;

/**
 * An asynchronous HTTP client with persistent connections.
 *
 * <p>Thread safe. A request is written at most once; this class never retries. A listener receives
 * only the response to its own transmission of a request, as determined by the request's {@link
 * Correlation}.
 */
public final class AsyncHttpClient implements AutoCloseable {
    /** The maximum time to open a connection, in milliseconds. */
    public static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private final TCPNIOTransport mTransport;
    private final boolean mOwnsTransport;
    private final TCPNIOConnectorHandler mConnector;
    private final ConnectionPool mPool = new ConnectionPool();
    private final ScheduledThreadPoolExecutor mTimer;
    private final AtomicLong mOpened = new AtomicLong();

    private AsyncHttpClient(
            TCPNIOTransport transport,
            boolean ownsTransport,
            DroppedResponseListener droppedListener) {
        mTransport = transport;
        mOwnsTransport = ownsTransport;
        mConnector =
                TCPNIOConnectorHandler.builder(transport)
                        .processor(
                                FilterChainBuilder.stateless()
                                        .add(new TransportFilter())
                                        .add(new HttpResponseParser(droppedListener))
                                        .add(new ExchangeFilter(droppedListener))
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

    /** Creates and starts a client with its own I/O thread. */
    public static AsyncHttpClient start() throws IOException {
        TCPNIOTransport transport = IoTransports.create("http-client");
        transport.start();
        return new AsyncHttpClient(transport, true, DroppedResponseListener.none());
    }

    /**
     * Creates a client on the I/O thread of a running transport, which {@link #close} does not
     * stop.
     *
     * @param droppedListener receives responses that match no pending request
     */
    public static AsyncHttpClient usingTransport(
            TCPNIOTransport transport, DroppedResponseListener droppedListener) {
        return new AsyncHttpClient(transport, false, droppedListener);
    }

    /** Sends a request and passes its response to {@code listener}. */
    public HttpExchange send(HttpRequest request, HttpResponseListener listener) {
        HttpExchange exchange = new HttpExchange(request, listener, mPool);
        listener.onStart(exchange);
        if (request.timeoutMillis() > 0) {
            String detail = "timeout after " + request.timeoutMillis() + " ms";
            scheduleTimeout(exchange, request.timeoutMillis(), detail);
        }
        boolean handled = false;
        ClientConnection idle = takeIdle(request);
        while (idle != null && !handled) {
            handled = exchange.trySend(idle);
            idle = handled ? null : takeIdle(request);
        }
        if (!handled) {
            connect(request, exchange);
        }
        return exchange;
    }

    private @Nullable ClientConnection takeIdle(HttpRequest request) {
        return request.sharesConnection()
                ? mPool.take(request.address(), request.correlation(), System.nanoTime())
                : null;
    }

    private void connect(HttpRequest request, HttpExchange exchange) {
        exchange.setConnectTimeout(
                mTimer.schedule(
                        exchange::failIfNotConnected,
                        CONNECT_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS));
        mConnector.connect(
                request.address(),
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    @SuppressWarnings("rawtypes")
                    public void completed(Connection connection) {
                        long number = mOpened.incrementAndGet();
                        if (!exchange.trySend(
                                ClientConnection.open(connection, request.address(), number))) {
                            exchange.fail("connection closed");
                        }
                    }

                    @Override
                    public void failed(Throwable cause) {
                        exchange.fail("connect: " + cause.getMessage());
                    }
                });
    }

    private void scheduleTimeout(HttpExchange exchange, long millis, String detail) {
        exchange.setTimeout(
                mTimer.schedule(() -> exchange.fail(detail), millis, TimeUnit.MILLISECONDS));
    }

    /**
     * Sends a request and collects the complete response.
     *
     * @return a response with any status, or a fault that states whether the request may have been
     *     sent
     */
    public CompletableFuture<Result<HttpResponse>> request(HttpRequest request, String step) {
        CompletableFuture<Result<HttpResponse>> response = new CompletableFuture<>();
        send(request, new ResponseCollector(request, step, response));
        return response;
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
            // The transport is unusable in any case.
        }
    }

    /** Collects a response. Used by one I/O thread at a time. */
    private static final class ResponseCollector implements HttpResponseListener {
        private final HttpRequest mRequest;
        private final String mStep;
        private final CompletableFuture<Result<HttpResponse>> mResponse;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private @Nullable HttpResponseHead mHead;

        ResponseCollector(
                HttpRequest request,
                String step,
                CompletableFuture<Result<HttpResponse>> response) {
            mRequest = request;
            mStep = step;
            mResponse = response;
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
            HttpHeaders headers = mHead == null ? HttpHeaders.empty() : mHead.headers();
            mResponse.complete(Result.ok(new HttpResponse(status, headers, mBody.toByteArray())));
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            String peer = mRequest.authority();
            Fault fault =
                    sent
                            ? Fault.unknown(FaultCode.PEER_LOST, mStep, peer, detail)
                            : Fault.notRun(FaultCode.PEER_LOST, mStep, peer, detail);
            mResponse.complete(Result.err(fault));
        }
    }
}
