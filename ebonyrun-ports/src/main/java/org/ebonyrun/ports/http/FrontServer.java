package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.time.Nanos;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP server that passes complete requests to a listener and responds to them asynchronously,
 * without a thread for each request.
 *
 * <p>Thread safe. Limits are read for each request, so they may change while the server runs.
 */
public final class FrontServer {
    private static final int CODEC_HEADER_BYTES = 128 * 1024;
    private static final int SEPARATOR_BYTES = 1_024;
    // Bounds what has arrived on a connection and is not read, and with it the size of a read.
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int BACKLOG = 1_024;
    private static final int BAD_REQUEST = 400;
    // Stays with a connection after its end, so that what was read before is not taken for requests
    // of a new one.
    private static final Attribute<FrontConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(FrontServer.class.getName());

    private final FrontListener mListener;
    private final Supplier<FrontLimits> mLimits;
    private final FrontMemory mMemory;
    private final Supplier<ConnectionLimit> mConnectionLimit;
    private final AtomicLong mEndedConnections = new AtomicLong();
    private final MemoryQueue mMemoryQueue;
    private final Set<FrontConnection> mConnections = ConcurrentHashMap.newKeySet();
    private @Nullable Connection<?> mServerConnection;
    private volatile boolean mDraining;
    private volatile boolean mStopped;

    private FrontServer(
            FrontListener listener,
            Supplier<FrontLimits> limits,
            FrontMemory memory,
            Supplier<ConnectionLimit> connectionLimit) {
        mListener = listener;
        mLimits = limits;
        mMemory = memory;
        mMemoryQueue = new MemoryQueue(memory.admission().maxWaiting());
        mConnectionLimit = connectionLimit;
    }

    /**
     * Listens on an address, on the I/O thread of a transport, without a limit on memory or
     * connections.
     *
     * @throws IOException if the address can't be bound
     */
    public static FrontServer bind(
            TCPNIOTransport transport,
            InetSocketAddress address,
            FrontListener listener,
            Supplier<FrontLimits> limits)
            throws IOException {
        return bind(
                transport,
                address,
                listener,
                limits,
                FrontMemory.unlimited(),
                ConnectionLimit::none);
    }

    /**
     * Listens on an address, on the I/O thread of a transport.
     *
     * @throws IOException if the address can't be bound
     */
    public static FrontServer bind(
            TCPNIOTransport transport,
            InetSocketAddress address,
            FrontListener listener,
            Supplier<FrontLimits> limits,
            FrontMemory memory,
            Supplier<ConnectionLimit> connectionLimit)
            throws IOException {
        FrontServer server = new FrontServer(listener, limits, memory, connectionLimit);
        HttpServerFilter codec = server.new Codec();
        codec.setAllowPayloadForUndefinedHttpMethods(true);
        server.mServerConnection =
                TCPNIOBindingHandler.builder(transport)
                        .processor(
                                FilterChainBuilder.stateless()
                                        .add(new TransportFilter())
                                        .add(server.new ActivityFilter())
                                        .add(codec)
                                        .add(server.new RequestFilter())
                                        .build())
                        .build()
                        .bind(address, BACKLOG);
        return server;
    }

    /**
     * Goes on with requests that wait for memory, or refuses them. Must be called periodically, by
     * one thread.
     */
    public void resumeWaiting() {
        mMemoryQueue.resume();
    }

    /** Returns the number of requests that wait for memory. */
    public int waitingCount() {
        return mMemoryQueue.count();
    }

    /** Closes connections that exceed the idle or header timeout. Must be called periodically. */
    public void closeExpiredConnections(long now) {
        FrontLimits limits = mLimits.get();
        long idle = Nanos.ofMillis(limits.idleTimeoutMillis());
        long header = Nanos.ofMillis(limits.headerTimeoutMillis());
        mConnections.forEach(connection -> connection.closeIfExpired(now, idle, header));
    }

    /**
     * Closes each connection after the responses to all requests that were read by then, and
     * connections without a request on which there was no activity for {@code idleNanos}.
     */
    public void drain(long now, long idleNanos) {
        mDraining = true;
        mConnections.forEach(connection -> connection.drain(now, idleNanos));
    }

    /**
     * Stops accepting requests: closes the listening socket and every connection without a request.
     * Requests that are being read or answered are completed, each as the last one on its
     * connection. Once no connection is busy, no further request can arrive.
     */
    public void stop() {
        mStopped = true;
        if (mServerConnection != null) {
            mServerConnection.closeSilently();
        }
        drain(System.nanoTime(), 0);
    }

    /** Returns the number of connections with a request that is being read or answered. */
    public int busyConnectionCount() {
        return (int) mConnections.stream().filter(FrontConnection::isBusy).count();
    }

    /**
     * Returns how much of a head, or of lines between the parts of a body, may be read without its
     * end: more than the limit on headers, which does not count what separates them.
     */
    private int maxUnparsedBytes() {
        return 2 * mLimits.get().maxHeaderBytes() + SEPARATOR_BYTES;
    }

    /**
     * Closes a connection for whose input there is no memory, before a request was read from it.
     */
    private void closeForMemory(FrontConnection connection) {
        mMemory.account().countRefused(MemoryClass.INPUT);
        connection.terminate();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return mConnections.size();
    }

    /** Returns how many connections were ended because there were too many. */
    public long endedConnectionCount() {
        return mEndedConnections.get();
    }

    /** Ends connections if another one is one too many; returns whether there is room for it. */
    private boolean makeRoom() {
        ConnectionLimit limit = mConnectionLimit.get();
        if (!limit.isReached(mConnections.size())) {
            return true;
        }
        List<FrontConnection> ended = limit.chooseEnded(mConnections);
        ended.forEach(FrontConnection::terminate);
        mEndedConnections.addAndGet(Math.max(1, ended.size()));
        return !ended.isEmpty();
    }

    private void onAccepted(Connection<?> connection) {
        boolean hasRoom = makeRoom();
        FrontConnection accepted =
                new FrontConnection(
                        connection,
                        mListener,
                        new UnparsedInput(mMemory.account().open(MemoryClass.INPUT)),
                        mDraining,
                        System.nanoTime());
        accepted.setReader(new RequestReader(accepted, mMemory, mLimits, mMemoryQueue));
        STATE.set(connection, accepted);
        mConnections.add(accepted);
        if (!hasRoom || mStopped || !connection.isOpen()) {
            connection.closeSilently();
            onClosed(connection);
        }
    }

    private void onClosed(Connection<?> connection) {
        FrontConnection closed = STATE.get(connection);
        if (closed != null && mConnections.remove(closed)) {
            closed.onClosed();
        }
    }

    private static FrontConnection of(Connection<?> connection) {
        return checkNotNull(STATE.get(connection), "the connection was not accepted");
    }

    /** Follows connections from their start to their end, and the arrival of bytes. */
    private final class ActivityFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) throws IOException {
            limitReceiveBuffer((NIOConnection) ctx.getConnection());
            onAccepted(ctx.getConnection());
            return ctx.getInvokeAction();
        }

        private void limitReceiveBuffer(NIOConnection connection) {
            try {
                ((SocketChannel) connection.getChannel())
                        .setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            } catch (IOException ignored) {
                // The connection has ended already.
            }
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            Buffer read = ctx.getMessage();
            FrontConnection connection = of(ctx.getConnection());
            if (connection.dropsInput()) {
                // The caller is slowed down instead of read for nothing.
                connection.setReading(false);
                read.tryDispose();
                return ctx.getStopAction();
            }
            if (connection.discards(read.remaining())) {
                read.tryDispose();
                return ctx.getStopAction();
            }
            byte[] bytes = new byte[read.remaining()];
            read.get(bytes);
            read.tryDispose();
            connection.onBytesReceived(System.nanoTime());
            if (connection.input().keptBytes() > maxUnparsedBytes()) {
                connection.reader().refuseLongLines();
            }
            if (connection.reader().isReadingChunks()) {
                if (!connection.input().addOfChunks(bytes.length)) {
                    connection.reader().refuseForMemory();
                }
            } else if (!connection.input().add(bytes.length)) {
                closeForMemory(connection);
                return ctx.getStopAction();
            }
            // A copy, because the codec's requests keep the buffer that they were parsed from, and
            // that of the transport is a part of a larger one.
            ctx.setMessage(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes));
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) throws IOException {
            onClosed(ctx.getConnection());
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            ctx.getConnection().closeSilently();
        }
    }

    /** Parses requests; the refusal of a malformed one never overtakes pending responses. */
    private final class Codec extends HttpServerFilter {
        Codec() {
            super(true, CODEC_HEADER_BYTES, null, null);
        }

        @Override
        protected void onIncomingUpgrade(FilterChainContext ctx, HttpHeader header) {
            UpgradeOffer.ignore(header);
        }

        @Override
        protected void onHttpHeaderError(
                HttpHeader header, FilterChainContext ctx, Throwable error) {
            refuse((HttpRequestPacket) header, ctx);
        }

        @Override
        protected void onHttpContentError(
                HttpHeader header, FilterChainContext ctx, Throwable error) {
            header.setContentBroken(true);
            refuse((HttpRequestPacket) header, ctx);
        }

        @Override
        protected boolean decodeHttpPacket(
                FilterChainContext ctx, HttpPacketParsing packet, Buffer input) {
            boolean complete = super.decodeHttpPacket(ctx, packet, input);
            if (!complete) {
                checkArgument(input.remaining() <= maxUnparsedBytes(), "the head is too long");
                if (!of(ctx.getConnection()).input().onHeadIncomplete(input.remaining())) {
                    closeForMemory(of(ctx.getConnection()));
                }
            }
            return complete;
        }

        private void refuse(HttpRequestPacket packet, FilterChainContext ctx) {
            int status = Math.max(packet.getResponse().getStatus(), BAD_REQUEST);
            FrontConnection connection = of(ctx.getConnection());
            connection.reader().refuseUnreadable(status);
        }
    }

    /** Passes what is read of requests to their connections. */
    private final class RequestFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            HttpContent content = ctx.getMessage();
            HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
            FrontConnection connection = of(ctx.getConnection());
            // The codec reports empty content while it reads trailers.
            if (content.isLast()
                    || content.getContent().hasRemaining()
                    || !connection.reader().isReading(packet)) {
                connection.input().onParsed();
            }
            if (!HttpContent.isBroken(content)) {
                connection.reader().onContent(packet, content.getContent(), content.isLast());
            }
            return ctx.getStopAction();
        }
    }
}
