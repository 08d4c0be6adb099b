package org.ebonyrun.ports.http;

import java.net.SocketAddress;
import java.util.concurrent.ScheduledFuture;
import org.ebonyrun.base.eventloop.FatalErrors;
import org.ebonyrun.base.time.Nanos;
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
 * <p>Thread safe: state changes hold the exchange's monitor. The listener is notified of exactly
 * one end: the end of the response or a failure. A connection is returned to the pool only while it
 * is read.
 */
public final class HttpExchange implements FlowControl.Source {
    private static final long DEFAULT_IDLE_NANOS = Nanos.ofMillis(10_000);
    // The part of the server's keep-alive timeout that is used; the rest covers network delay.
    private static final double IDLE_FRACTION = 0.7;

    private final HttpRequest mRequest;
    private final HttpResponseListener mListener;
    private final ConnectionPool mPool;
    private @Nullable ClientConnection mConnection;
    private ConnectionUse mUse = ConnectionUse.NONE;
    private @Nullable ScheduledFuture<?> mTimeout;
    private @Nullable ScheduledFuture<?> mConnectTimeout;
    private long mIdleNanos = DEFAULT_IDLE_NANOS;
    private long mReceivedBytes;
    private boolean mPaused;
    private boolean mSent;
    private boolean mDone;

    HttpExchange(HttpRequest request, HttpResponseListener listener, ConnectionPool pool) {
        mRequest = request;
        mListener = listener;
        mPool = pool;
    }

    /** Ends the exchange and closes its connection, which signals the server to stop. */
    public void cancel() {
        fail("cancelled");
    }

    synchronized void setTimeout(ScheduledFuture<?> timeout) {
        mTimeout = timeout;
        if (mDone) {
            timeout.cancel(false);
        }
    }

    synchronized void setConnectTimeout(ScheduledFuture<?> timeout) {
        mConnectTimeout = timeout;
        if (mDone || mSent) {
            timeout.cancel(false);
        }
    }

    /** Fails the exchange unless it already has an open connection. */
    void failIfNotConnected() {
        fail("connect: timeout after " + AsyncHttpClient.CONNECT_TIMEOUT_MILLIS + " ms", true);
    }

    /** Returns which connection carries the exchange. */
    public synchronized ConnectionUse connectionUse() {
        return mUse;
    }

    String method() {
        return mRequest.method();
    }

    Correlation correlation() {
        return mRequest.correlation();
    }

    /**
     * Writes the request on a connection. If the exchange is already done, writes nothing and
     * returns the connection to the pool.
     *
     * @return false if the connection had ended before anything was written
     */
    boolean trySend(ClientConnection connection) {
        long now = System.nanoTime();
        synchronized (this) {
            if (mDone) {
                returnToPool(connection, now + DEFAULT_IDLE_NANOS);
                return true;
            }
            ConnectionUse use = connection.bind(this, correlation().id(), now);
            if (use == null) {
                return false;
            }
            mConnection = connection;
            mUse = use;
            mSent = true;
            if (mConnectTimeout != null) {
                mConnectTimeout.cancel(false);
            }
        }
        Writeable<SocketAddress> writeable = writeable(connection.connection());
        writeable.write(
                packet(),
                new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                    @Override
                    public void failed(Throwable cause) {
                        fail("write: " + cause.getMessage());
                    }
                });
        return true;
    }

    @SuppressWarnings("unchecked")
    private static Writeable<SocketAddress> writeable(Connection<?> connection) {
        return (Writeable<SocketAddress>) connection;
    }

    void onHead(HttpResponseHead head) {
        if (!isDone()) {
            long seconds = keepAliveSeconds(head);
            if (seconds >= 0) {
                mIdleNanos = (long) (IDLE_FRACTION * seconds * Nanos.PER_SECOND);
            }
            FatalErrors.runReporting(() -> mListener.onHead(head));
        }
    }

    private static long keepAliveSeconds(HttpResponseHead head) {
        String text = head.headers().first("Keep-Alive").orElse("");
        int begin = text.indexOf("timeout=");
        if (begin < 0) {
            return -1;
        }
        String rest = text.substring(begin + "timeout=".length());
        int end = 0;
        while (end < rest.length() && Character.isDigit(rest.charAt(end))) {
            end++;
        }
        return end == 0 || end > 9 ? -1 : Long.parseLong(rest.substring(0, end));
    }

    void onData(byte[] data) {
        if (isDone()) {
            return;
        }
        mReceivedBytes += data.length;
        int limit = mRequest.maxResponseBytes();
        if (limit > 0 && mReceivedBytes > limit) {
            fail("response body is longer than " + limit + " bytes");
        } else {
            FatalErrors.runReporting(() -> mListener.onData(data));
        }
    }

    /**
     * Stops reading the response. Meanwhile the end of the connection is not noticed; a timeout
     * still ends the exchange.
     */
    @Override
    public synchronized void pause() {
        if (!mDone && mConnection != null) {
            mPaused = true;
            mConnection.setReading(false);
        }
    }

    /** Continues to read the response. */
    @Override
    public synchronized void resume() {
        if (!mDone && mPaused && mConnection != null) {
            mPaused = false;
            mConnection.setReading(true);
        }
    }

    /** Ends the exchange normally, and returns the connection to the pool or closes it. */
    void complete(boolean keepAlive) {
        if (!finish()) {
            return;
        }
        ClientConnection connection = mConnection;
        if (connection != null) {
            long now = System.nanoTime();
            if (mPaused) {
                connection.setReading(true);
            }
            connection.unbind(now);
            if (keepAlive && connection.isReusable()) {
                returnToPool(connection, now + mIdleNanos);
            } else {
                connection.close();
            }
        }
        FatalErrors.runReporting(mListener::onEnd);
    }

    private void returnToPool(ClientConnection connection, long expiresAt) {
        if (mRequest.sharesConnection()) {
            mPool.put(mRequest.address(), correlation(), connection, expiresAt);
        } else {
            connection.close();
        }
    }

    /** Ends the exchange with a failure and closes the connection. */
    void fail(String detail) {
        fail(detail, false);
    }

    private void fail(String detail, boolean onlyUnsent) {
        boolean sent;
        // Atomic: a request that is sent concurrently must not be reported as not sent.
        synchronized (this) {
            sent = mSent;
            if (sent && onlyUnsent || !finish()) {
                return;
            }
        }
        ClientConnection connection = mConnection;
        if (connection != null) {
            connection.abandon();
        }
        FatalErrors.runReporting(() -> mListener.onFailure(sent, detail));
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
        if (mConnectTimeout != null) {
            mConnectTimeout.cancel(false);
        }
        return true;
    }

    private HttpContent packet() {
        HttpRequestPacket.Builder head =
                HttpRequestPacket.builder()
                        .method(mRequest.method())
                        .uri(mRequest.target())
                        .protocol(Protocol.HTTP_1_1);
        if (mRequest.headers().first("Host").isEmpty()) {
            head.host(mRequest.authority());
        }
        mRequest.headers()
                .forEach(
                        (name, value) -> {
                            if (isSendable(name, value)) {
                                head.header(name, value);
                            }
                        });
        head.contentLength(mRequest.body().length);
        return HttpContent.builder(head.build())
                .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, mRequest.body()))
                .last(true)
                .build();
    }

    /**
     * Returns whether a header may be sent. The length of the body alone determines where the
     * request ends: a header that says otherwise makes the codec leave out the length, or lets the
     * server take the body for further requests.
     */
    private static boolean isSendable(String name, String value) {
        return !HttpHeaders.isHopByHop(name)
                && HeaderSyntax.isToken(name)
                && HeaderSyntax.isValue(value);
    }
}
