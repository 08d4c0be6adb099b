package org.ebonyrun.ports.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.connectionpool.Endpoint;
import org.glassfish.grizzly.connectionpool.MultiEndpointPool;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * An asynchronous HTTP client with kept-alive connections.
 *
 * <p>Thread safe. A request is written at most once; it is never repeated by this class.
 */
public final class HttpCaller implements AutoCloseable {
    private static final int MAX_PER_ENDPOINT = 512;
    private static final int MAX_TOTAL = 4_096;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int KEEP_ALIVE_SECONDS = 20;

    private final TCPNIOTransport mTransport;
    private final TCPNIOConnectorHandler mConnector;
    private final MultiEndpointPool<InetSocketAddress> mPool;
    private final ScheduledExecutorService mTimer;

    private HttpCaller(TCPNIOTransport transport) {
        mTransport = transport;
        mConnector = TCPNIOConnectorHandler.builder(transport).build();
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "http-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mPool =
                MultiEndpointPool.builder(InetSocketAddress.class)
                        .maxConnectionsPerEndpoint(MAX_PER_ENDPOINT)
                        .maxConnectionsTotal(MAX_TOTAL)
                        .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .keepAliveTimeout(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                        .build();
    }

    /** Creates and starts a client. */
    public static HttpCaller start() throws IOException {
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance()
                        .setProcessor(
                                FilterChainBuilder.stateless()
                                        .add(new TransportFilter())
                                        .add(new HttpClientFilter())
                                        .add(new ExchangeFilter())
                                        .build())
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
        return new HttpCaller(transport);
    }

    /** Sends a request and reports its response to {@code listener}. */
    public HttpExchange send(HttpCall call, HttpListener listener) {
        HttpExchange exchange = new HttpExchange(call, listener, mPool::release);
        exchange.setTimeout(
                mTimer.schedule(
                        () -> exchange.fail("timeout after " + call.timeoutMillis() + " ms"),
                        call.timeoutMillis(),
                        TimeUnit.MILLISECONDS));
        mPool.take(
                endpoint(call),
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    @SuppressWarnings("rawtypes")
                    public void completed(Connection connection) {
                        exchange.begin(connection);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        exchange.fail("connect: " + cause.getMessage());
                    }
                });
        return exchange;
    }

    /**
     * Sends a request and collects the whole response.
     *
     * @return a reply with any status, or a fault that tells whether the request may have left
     */
    public CompletableFuture<Result<HttpReply>> request(HttpCall call, String step) {
        CompletableFuture<Result<HttpReply>> answer = new CompletableFuture<>();
        send(call, new Collector(call, step, answer));
        return answer;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mPool.close();
        try {
            mTransport.shutdownNow();
        } catch (IOException ignored) {
            // The transport is gone either way.
        }
    }

    private Endpoint<InetSocketAddress> endpoint(HttpCall call) {
        InetSocketAddress address = new InetSocketAddress(call.uri().getHost(), call.port());
        return new Endpoint<>() {
            @Override
            public Object getId() {
                return address;
            }

            @Override
            @SuppressWarnings("rawtypes")
            public GrizzlyFuture<Connection> connect() {
                return (GrizzlyFuture<Connection>) mConnector.connect(address);
            }
        };
    }

    /** Collects a response. Used by one I/O thread at a time. */
    private static final class Collector implements HttpListener {
        private final HttpCall mCall;
        private final String mStep;
        private final CompletableFuture<Result<HttpReply>> mAnswer;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        Collector(HttpCall call, String step, CompletableFuture<Result<HttpReply>> answer) {
            mCall = call;
            mStep = step;
            mAnswer = answer;
        }

        @Override
        public void onHead(int status) {
            mStatus = status;
        }

        @Override
        public void onData(byte[] data) {
            mBody.writeBytes(data);
        }

        @Override
        public void onEnd() {
            mAnswer.complete(Result.ok(new HttpReply(mStatus, mBody.toByteArray())));
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
