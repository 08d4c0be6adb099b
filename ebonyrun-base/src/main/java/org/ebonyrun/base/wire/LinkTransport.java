package org.ebonyrun.base.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Opens and accepts links over TCP.
 *
 * <p>Thread safe. All links of one transport share a few selector threads; the listener runs on
 * them, so messages of one link are delivered in order.
 */
public final class LinkTransport implements AutoCloseable {
    /** Largest accepted frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int MAX_PENDING_BYTES = 32 << 20;
    private static final int SELECTOR_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

    private final TCPNIOTransport mTransport;
    private final FrameFilter mFilter;

    private LinkTransport(TCPNIOTransport transport, FrameFilter filter) {
        mTransport = transport;
        mFilter = filter;
    }

    /**
     * Creates and starts a transport whose links report to {@code listener}.
     *
     * @param name the name of the transport's threads
     */
    public static LinkTransport start(String name, MessageCodec codec, LinkListener listener)
            throws IOException {
        FrameFilter filter = new FrameFilter(codec, listener, MAX_FRAME_BYTES, MAX_PENDING_BYTES);
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance()
                        .setProcessor(
                                FilterChainBuilder.stateless()
                                        .add(new TransportFilter())
                                        .add(filter)
                                        .build())
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorRunnersCount(SELECTOR_THREADS)
                        .setSelectorThreadPoolConfig(pool(name))
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .build();
        transport.setConnectionTimeout(CONNECT_TIMEOUT_MILLIS);
        transport.start();
        return new LinkTransport(transport, filter);
    }

    /** Listens on an address and returns the port, which is chosen by the system when zero. */
    public int listen(String host, int port) throws IOException {
        var server = mTransport.bind(new InetSocketAddress(host, port));
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /** Connects to a peer; the listener hears of the link before the future completes. */
    public CompletableFuture<Link> connect(String host, int port) {
        CompletableFuture<Link> answer = new CompletableFuture<>();
        mTransport.connect(
                new InetSocketAddress(host, port),
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    @SuppressWarnings("rawtypes")
                    public void completed(Connection connection) {
                        answer.complete(mFilter.link(connection));
                    }

                    @Override
                    public void failed(Throwable cause) {
                        answer.completeExceptionally(cause);
                    }
                });
        return answer;
    }

    /** Returns how many bytes were received on all links. */
    public long bytesReceived() {
        return mFilter.bytesReceived();
    }

    /** Returns how many bytes were sent on all links. */
    public long bytesSent() {
        return mFilter.bytesSent();
    }

    private static ThreadPoolConfig pool(String name) {
        return ThreadPoolConfig.defaultConfig()
                .setPoolName(name)
                .setCorePoolSize(SELECTOR_THREADS)
                .setMaxPoolSize(SELECTOR_THREADS)
                .setDaemon(true);
    }

    @Override
    public void close() {
        try {
            mTransport.shutdownNow();
        } catch (IOException ignored) {
            // The transport is gone either way.
        }
    }
}
