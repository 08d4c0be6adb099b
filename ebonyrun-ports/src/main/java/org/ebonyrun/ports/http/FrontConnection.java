package org.ebonyrun.ports.http;

import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;
import org.jspecify.annotations.Nullable;

/**
 * What a {@link FrontServer} knows of one connection.
 *
 * <p>Thread safe: guarded by this object's monitor. At most one request is with the listener; later
 * ones of the same connection wait for its response, and so do the refusals of later ones: what a
 * caller reads first belongs to what it sent first. Nothing is taken after a refused request; the
 * connection closes once what came before is answered.
 */
final class FrontConnection {
    private static final int MAX_WAITING = 16;

    private final Connection<?> mConnection;
    private final FrontListener mListener;
    private final Deque<FrontExchange> mWaiting = new ArrayDeque<>();
    private @Nullable FrontExchange mCurrent;
    private @Nullable BodyBuffer mReading;
    private long mActiveAt;
    private long mHeaderSince;
    private boolean mClosing;
    private boolean mEnded;

    FrontConnection(Connection<?> connection, FrontListener listener, long now) {
        mConnection = connection;
        mListener = listener;
        mActiveAt = now;
    }

    Connection<?> connection() {
        return mConnection;
    }

    /** Returns whether the response that is sent now is the connection's last one. */
    synchronized boolean isClosing() {
        return mClosing || (mEnded && mWaiting.isEmpty());
    }

    /** Returns whether what arrives from now on is dropped. */
    synchronized boolean ignoresInput() {
        return mEnded;
    }

    /** Returns whether a response is owed to a request that was read. */
    synchronized boolean hasPendingResponse() {
        return mCurrent != null;
    }

    /** Notes that bytes arrived. */
    synchronized void onBytesReceived(long now) {
        mActiveAt = now;
        if (mReading == null && mCurrent == null && mHeaderSince == 0) {
            mHeaderSince = now;
        }
    }

    synchronized @Nullable BodyBuffer pendingBody() {
        return mReading;
    }

    synchronized void setPendingBody(@Nullable BodyBuffer reading) {
        mReading = reading;
        mHeaderSince = 0;
    }

    /**
     * Passes a request on or refuses it, or keeps it until the response before it is sent; drops
     * one that crosses the connection's end.
     */
    void submit(FrontExchange exchange) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mEnded = exchange.isRefused();
            if (mCurrent != null) {
                if (mWaiting.size() >= MAX_WAITING) {
                    mEnded = true;
                } else {
                    mWaiting.add(exchange);
                }
                return;
            }
            mCurrent = exchange;
        }
        start(exchange);
    }

    private void start(FrontExchange exchange) {
        if (exchange.isRefused()) {
            exchange.sendRefusal();
        } else {
            mListener.onRequest(exchange);
        }
    }

    void onResponseSent(boolean last) {
        FrontExchange next;
        synchronized (this) {
            mActiveAt = System.nanoTime();
            mCurrent = null;
            if (last) {
                mEnded = true;
                mWaiting.clear();
            }
            next = mWaiting.poll();
            mCurrent = next;
        }
        if (last) {
            mConnection.closeSilently();
        } else if (next != null) {
            start(next);
        }
    }

    void onClosed() {
        FrontExchange current;
        synchronized (this) {
            current = mCurrent;
            mCurrent = null;
            mWaiting.clear();
        }
        if (current != null && current.abandon()) {
            mListener.onAbandoned(current);
        }
    }

    /** Closes the connection if it is idle or its headers take too long. */
    void closeIfExpired(long now, long idleNanos, long headerNanos) {
        boolean expired;
        synchronized (this) {
            boolean idle = mCurrent == null && now - mActiveAt > idleNanos;
            boolean slow = mHeaderSince != 0 && now - mHeaderSince > headerNanos;
            expired = idle || slow;
        }
        if (expired) {
            mConnection.closeSilently();
        }
    }

    /** Ends the connection with its next response; closes it at once after a quiet time. */
    void drain(long now, long quietNanos) {
        boolean quiet;
        synchronized (this) {
            mClosing = true;
            quiet = mCurrent == null && mReading == null && now - mActiveAt >= quietNanos;
            mEnded |= quiet;
        }
        if (quiet) {
            mConnection.closeSilently();
        }
    }

    synchronized boolean isBusy() {
        return mCurrent != null || mReading != null;
    }

    void close() {
        mConnection.closeSilently();
    }
}
