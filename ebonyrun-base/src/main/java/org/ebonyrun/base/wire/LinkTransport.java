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
 * <p>Thread safe. All links of a transport share a few selector threads. The listener is called on
 * these threads, so the messages of a link are delivered in order.
 */
public final class LinkTransport implements AutoCloseable {
    /** The maximum length of an accepted frame, in bytes. */
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
     * Creates and starts a transport that reports the events of its links to {@code listener}.
     *
     * @param name the name of the transport's thread pool
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
                        .setSelectorThreadPoolConfig(selectorPool(name))
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .build();
        transport.setConnectionTimeout(CONNECT_TIMEOUT_MILLIS);
        transport.start();
        return new LinkTransport(transport, filter);
    }

    /** Listens on an address and returns the port; port zero lets the operating system choose. */
    public int listen(String host, int port) throws IOException {
        var server = mTransport.bind(new InetSocketAddress(host, port));
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /** Connects to a peer; the listener is notified of the link before the future completes. */
    public CompletableFuture<Link> connect(String host, int port) {
        CompletableFuture<Link> link = new CompletableFuture<>();
        mTransport.connect(
                new InetSocketAddress(host, port),
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    @SuppressWarnings("rawtypes")
                    public void completed(Connection connection) {
                        link.complete(mFilter.link(connection));
                    }

                    @Override
                    public void failed(Throwable cause) {
                        link.completeExceptionally(cause);
                    }
                });
        return link;
    }

    /** Returns the number of bytes received on all links. */
    public long bytesReceived() {
        return mFilter.bytesReceived();
    }

    /** Returns the number of bytes sent on all links. */
    public long bytesSent() {
        return mFilter.bytesSent();
    }

    private static ThreadPoolConfig selectorPool(String name) {
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
            // The transport is not used any more, whether or not the shutdown succeeded.
        }
    }
}
