package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.ebonyrun.base.eventloop.FatalErrors;
import org.ebonyrun.base.time.Nanos;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Writeable;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * The state of one connection to a {@link FrontServer}.
 *
 * <p>Thread safe: guarded by this object's monitor. The listener handles at most one request of a
 * connection at a time. Later requests of the same connection wait for its response, and so do
 * refusals, because responses must be sent in the order of the requests. Input after a refused
 * request is ignored; the connection closes once the refusal and all earlier responses are sent.
 */
final class FrontConnection implements ConnectionLimit.Candidate {
    /** The number of requests that may wait for the response to an earlier one. */
    static final int MAX_WAITING = 16;

    // The slowest rate at which a caller may send the body of a request.
    private static final long MIN_BODY_BYTES_PER_SECOND = 1_024;
    // How much is read after a request that can't be parsed.
    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    private final Connection<?> mConnection;
    private final FrontListener mListener;
    private final UnparsedInput mInput;
    private final Deque<FrontExchange> mWaiting = new ArrayDeque<>();
    private @Nullable FrontExchange mCurrent;
    private @Nullable RequestReader mReader;
    private @Nullable BodyBuffer mPendingBody;
    private long mUnwrittenBytes;
    private long mLastActiveAt;
    private long mHeaderStartedAt;
    private long mBodyStartedAt;
    private boolean mClosing;
    private boolean mIgnoresInput;
    private boolean mClosed;
    private boolean mExpectsInputEnd;
    private boolean mIsUnreadable;
    private long mDiscardedBytes;
    private boolean mResponsesSent;
    private boolean mHasServed;

    /**
     * Creates the state of a connection.
     *
     * @param input what was read and not parsed
     * @param draining whether the connection closes after the requests that are read together
     */
    FrontConnection(
            Connection<?> connection,
            FrontListener listener,
            UnparsedInput input,
            boolean draining,
            long now) {
        mConnection = connection;
        mListener = listener;
        mInput = input;
        mClosing = draining;
        mLastActiveAt = now;
    }

    Connection<?> connection() {
        return mConnection;
    }

    /** Sets what assembles the requests; called once, before anything is read. */
    void setReader(RequestReader reader) {
        mReader = reader;
    }

    RequestReader reader() {
        return checkNotNull(mReader, "the connection has no reader");
    }

    /** Returns the account of what was read and not parsed. */
    UnparsedInput input() {
        return mInput;
    }

    /** Starts or stops reading from the connection; closes it if that is impossible. */
    void setReading(boolean reading) {
        ConnectionReading.set(mConnection, reading);
    }

    /** Writes a part of an interim response. */
    @SuppressWarnings("unchecked")
    void write(HttpContent content) {
        ((Writeable<SocketAddress>) mConnection).write(content);
    }

    /** Shows the caller that nothing more is sent, while its input is still read and ignored. */
    private void shutDownOutput() {
        try {
            ((SocketChannel) ((NIOConnection) mConnection).getChannel()).shutdownOutput();
        } catch (IOException ignored) {
            // The connection has ended already.
            close();
        }
    }

    /**
     * Reads the connection after the last response until {@link #onInputEnd}, or a timeout. A
     * caller that sends a long body may read the response only after it; closing the connection
     * before would reset it.
     */
    synchronized void expectInputEnd() {
        mExpectsInputEnd = true;
    }

    /** Handles a request that can't be parsed, so that its end is not found either. */
    synchronized void onUnreadable() {
        mIsUnreadable = true;
    }

    /** Returns whether input that was read is discarded, since no request can be found in it. */
    boolean discards(int bytes) {
        boolean tooMuch;
        synchronized (this) {
            if (!mIsUnreadable) {
                return false;
            }
            mDiscardedBytes += bytes;
            tooMuch = mDiscardedBytes > MAX_DISCARDED_BYTES;
        }
        if (tooMuch) {
            setReading(false);
        }
        return true;
    }

    /** Handles the end of the request that was refused before its end. */
    void onInputEnd() {
        boolean close;
        synchronized (this) {
            mExpectsInputEnd = false;
            close = mResponsesSent;
        }
        if (close) {
            mConnection.closeSilently();
        }
    }

    /**
     * Decides whether the response that is being sent is the last one on this connection, and if
     * so, ignores further input. Requests that were read before are answered first.
     *
     * @param requested whether the request or its handler asks for the connection to be closed
     */
    synchronized boolean closeAfterResponse(boolean requested) {
        boolean last = requested || (mWaiting.isEmpty() && (mClosing || mIgnoresInput));
        mIgnoresInput |= last;
        return last;
    }

    /** Ignores further input, and closes the connection after all pending responses. */
    void ignoreInput() {
        boolean idle;
        synchronized (this) {
            mIgnoresInput = true;
            idle = mCurrent == null;
        }
        if (idle) {
            mConnection.closeSilently();
        }
    }

    /** Returns whether further input is ignored. */
    synchronized boolean ignoresInput() {
        return mIgnoresInput;
    }

    /** Returns whether further input need not even be parsed. */
    synchronized boolean dropsInput() {
        return mIgnoresInput && !mExpectsInputEnd;
    }

    /** Returns whether the response to a complete request is pending. */
    synchronized boolean hasPendingResponse() {
        return mCurrent != null;
    }

    /** Records that bytes arrived. */
    synchronized void onBytesReceived(long now) {
        // While a response is to be written, only its progress shows that the caller reads.
        if (mUnwrittenBytes == 0) {
            mLastActiveAt = now;
        }
        if (mPendingBody == null && mCurrent == null && mHeaderStartedAt == 0) {
            mHeaderStartedAt = now;
        }
    }

    /** Records that bytes of a response wait to be written. */
    synchronized void onWriteStarted(int bytes, long now) {
        if (mUnwrittenBytes == 0) {
            mLastActiveAt = now;
        }
        mUnwrittenBytes += bytes;
    }

    /** Records that bytes of a response were written, which shows that the caller reads. */
    synchronized void onWritten(int bytes, long now) {
        mUnwrittenBytes -= bytes;
        mLastActiveAt = now;
    }

    synchronized @Nullable BodyBuffer pendingBody() {
        return mPendingBody;
    }

    synchronized void setPendingBody(@Nullable BodyBuffer body, long now) {
        mPendingBody = body;
        mBodyStartedAt = now;
        mHeaderStartedAt = 0;
    }

    /**
     * Passes a request to the listener or refuses it, after the responses to all earlier requests
     * are sent. Drops a request if further input is ignored.
     */
    void submit(FrontExchange exchange) {
        boolean start = false;
        boolean dropped = false;
        synchronized (this) {
            dropped = mIgnoresInput || mClosed;
            if (!dropped) {
                mIgnoresInput = exchange.isRefused();
                if (mCurrent == null) {
                    mCurrent = exchange;
                    start = true;
                } else if (mWaiting.size() < MAX_WAITING) {
                    mWaiting.add(exchange);
                } else {
                    mIgnoresInput = true;
                    dropped = true;
                }
            }
        }
        if (dropped) {
            exchange.releaseMemory();
        } else if (start) {
            start(exchange);
        }
    }

    private void start(FrontExchange exchange) {
        if (exchange.isRefused()) {
            exchange.sendRefusal();
        } else {
            FatalErrors.runReporting(() -> mListener.onRequest(exchange));
        }
    }

    void onResponseSent(boolean last) {
        FrontExchange sent;
        FrontExchange next;
        List<FrontExchange> dropped = List.of();
        boolean close;
        boolean shutDown;
        synchronized (this) {
            mLastActiveAt = System.nanoTime();
            mHasServed = true;
            sent = mCurrent;
            mCurrent = null;
            if (last) {
                mIgnoresInput = true;
                dropped = List.copyOf(mWaiting);
                mWaiting.clear();
            }
            next = mWaiting.poll();
            mCurrent = next;
            mResponsesSent = last;
            close = last && !mExpectsInputEnd;
            shutDown = last && mExpectsInputEnd;
        }
        if (sent != null) {
            sent.releaseMemory();
        }
        dropped.forEach(FrontExchange::releaseMemory);
        if (close) {
            mConnection.closeSilently();
        } else if (shutDown) {
            shutDownOutput();
        } else if (next != null) {
            start(next);
        }
    }

    void onClosed() {
        FrontExchange current;
        List<FrontExchange> dropped;
        RequestReader reader;
        synchronized (this) {
            current = mCurrent;
            mCurrent = null;
            mClosed = true;
            dropped = List.copyOf(mWaiting);
            mWaiting.clear();
            reader = mReader;
        }
        dropped.forEach(FrontExchange::releaseMemory);
        mInput.release();
        if (reader != null) {
            reader.onClosed();
        }
        if (current == null) {
            return;
        }
        if (current.abandon()) {
            FatalErrors.runReporting(() -> mListener.onAbandoned(current));
        }
        current.releaseMemory();
    }

    /**
     * Closes the connection if it has been idle for too long, its headers or a body take too long,
     * or the caller has not read any of a response for too long.
     */
    void closeIfExpired(long now, long idleNanos, long headerNanos) {
        if (isExpired(now, idleNanos, headerNanos)) {
            // Closing would wait until the caller has read what is still to be written.
            terminate();
        }
    }

    /** Returns whether the connection is to be closed, see {@link #closeIfExpired}. */
    synchronized boolean isExpired(long now, long idleNanos, long headerNanos) {
        boolean waits = mCurrent == null || mUnwrittenBytes > 0;
        boolean slowHeader = mHeaderStartedAt != 0 && now - mHeaderStartedAt > headerNanos;
        return slowHeader || isBodySlow(now, idleNanos) || waits && now - mLastActiveAt > idleNanos;
    }

    /** Returns whether a body arrives more slowly than it may, however often bytes of it come. */
    private boolean isBodySlow(long now, long idleNanos) {
        if (mPendingBody == null) {
            return false;
        }
        long allowed = mPendingBody.size() * Nanos.PER_SECOND / MIN_BODY_BYTES_PER_SECOND;
        return now - mBodyStartedAt > idleNanos + allowed;
    }

    /**
     * Closes this connection after the responses to all requests that were read by then; at once if
     * no request is in progress and there was no activity for {@code idleNanos}.
     */
    void drain(long now, long idleNanos) {
        boolean idle;
        synchronized (this) {
            mClosing = true;
            idle = mCurrent == null && mPendingBody == null && now - mLastActiveAt >= idleNanos;
            mIgnoresInput |= idle;
        }
        if (idle) {
            mConnection.closeSilently();
        }
    }

    @Override
    public synchronized boolean isBusy() {
        return mCurrent != null || mPendingBody != null;
    }

    /** Closes the connection without waiting until the caller has read what is still written. */
    void terminate() {
        mConnection.terminateSilently();
    }

    @Override
    public synchronized boolean hasServed() {
        return mHasServed;
    }

    @Override
    public synchronized long lastActiveAt() {
        return mLastActiveAt;
    }

    void close() {
        mConnection.closeSilently();
    }
}
