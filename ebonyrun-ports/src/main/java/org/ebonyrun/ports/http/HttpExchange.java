package org.ebonyrun.ports.http;

import java.net.SocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.Writeable;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.jspecify.annotations.Nullable;

/**
 * One request and its response.
 *
 * <p>Thread safe: state changes hold the exchange's monitor. The listener hears of exactly one end.
 */
public final class HttpExchange {
    private final HttpCall mCall;
    private final HttpListener mListener;
    private final Consumer<Connection<?>> mRelease;
    private @Nullable Connection<?> mConnection;
    private @Nullable ScheduledFuture<?> mTimeout;
    private boolean mSent;
    private boolean mDone;

    HttpExchange(HttpCall call, HttpListener listener, Consumer<Connection<?>> release) {
        mCall = call;
        mListener = listener;
        mRelease = release;
    }

    /** Ends the exchange and closes its connection, which tells the server to stop. */
    public void cancel() {
        fail("cancelled");
    }

    synchronized void setTimeout(ScheduledFuture<?> timeout) {
        mTimeout = timeout;
        if (mDone) {
            timeout.cancel(false);
        }
    }

    /** Writes the request on a connection from the pool. */
    void begin(Connection<?> connection) {
        synchronized (this) {
            if (mDone) {
                mRelease.accept(connection);
                return;
            }
            mConnection = connection;
            mSent = true;
        }
        ExchangeFilter.bind(connection, this);
        Writeable<SocketAddress> writeable = writeable(connection);
        writeable.write(
                packet(),
                new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                    @Override
                    public void failed(Throwable cause) {
                        fail("write: " + cause.getMessage());
                    }
                });
    }

    @SuppressWarnings("unchecked")
    private static Writeable<SocketAddress> writeable(Connection<?> connection) {
        return (Writeable<SocketAddress>) connection;
    }

    void head(int status) {
        if (!isDone()) {
            mListener.onHead(status);
        }
    }

    void data(byte[] data) {
        if (!isDone()) {
            mListener.onData(data);
        }
    }

    /** Ends the exchange normally and gives the connection back. */
    void end(boolean keepAlive) {
        if (!finish()) {
            return;
        }
        Connection<?> connection = mConnection;
        if (connection != null) {
            ExchangeFilter.unbind(connection);
            if (!keepAlive) {
                connection.closeSilently();
            }
            mRelease.accept(connection);
        }
        mListener.onEnd();
    }

    /** Ends the exchange with a failure and closes the connection. */
    void fail(String detail) {
        boolean sent;
        synchronized (this) {
            sent = mSent;
        }
        if (!finish()) {
            return;
        }
        Connection<?> connection = mConnection;
        if (connection != null) {
            ExchangeFilter.unbind(connection);
            connection.closeSilently();
            mRelease.accept(connection);
        }
        mListener.onFailure(sent, detail);
    }

    private synchronized boolean isDone() {
        return mDone;
    }

    private synchronized boolean finish() {
        if (mDone) {
            return false;
        }
        mDone = true;
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        return true;
    }

    private HttpContent packet() {
        HttpRequestPacket.Builder head =
                HttpRequestPacket.builder()
                        .method(mCall.method())
                        .uri(mCall.target())
                        .protocol(Protocol.HTTP_1_1)
                        .host(mCall.authority());
        mCall.headers().forEach(head::header);
        head.contentLength(mCall.body().length);
        return HttpContent.builder(head.build())
                .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, mCall.body()))
                .last(true)
                .build();
    }
}
