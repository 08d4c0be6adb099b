package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;
import org.ebonyrun.base.time.Nanos;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;

/**
 * The state of one connection of an {@link AsyncHttpClient}.
 *
 * <p>Thread safe: guarded by this object's monitor. At most one exchange is bound at a time. A
 * connection carries each request ID at most once, and no further requests after a response to
 * another request has arrived.
 */
final class ClientConnection {
    private static final Attribute<ClientConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("ebonyrun.caller");

    // The most responses to other requests that are skipped while one request is pending.
    private static final int MAX_SKIPPED = 8;

    private final Connection<?> mConnection;
    private final InetSocketAddress mPeer;
    private final long mNumber;
    private final RequestIdFingerprints mSentIds = new RequestIdFingerprints();
    private @Nullable HttpExchange mExchange;
    private ConnectionUse mUse = ConnectionUse.NONE;
    private boolean mHeadSeen;
    private boolean mSkipping;
    private boolean mAmbiguous;
    private boolean mEnded;
    private int mSkipped;
    private int mRequests;
    private long mIdleSince;

    private ClientConnection(Connection<?> connection, InetSocketAddress peer, long number) {
        mConnection = connection;
        mPeer = peer;
        mNumber = number;
    }

    /** Creates the state of a connection that was just opened. */
    static ClientConnection open(Connection<?> connection, InetSocketAddress peer, long number) {
        ClientConnection state = new ClientConnection(connection, peer, number);
        STATE.set(connection, state);
        return state;
    }

    /** Returns the state of a connection; null before {@link #open}. */
    static @Nullable ClientConnection of(Connection<?> connection) {
        return STATE.get(connection);
    }

    /** Returns the exchange that is bound to a connection; null if there is none. */
    static @Nullable HttpExchange exchangeOn(Connection<?> connection) {
        ClientConnection state = of(connection);
        return state == null ? null : state.exchange();
    }

    Connection<?> connection() {
        return mConnection;
    }

    boolean isOpen() {
        return mConnection.isOpen();
    }

    void close() {
        mConnection.closeSilently();
    }

    /** Starts or stops reading from the connection; closes it if that is impossible. */
    void setReading(boolean reading) {
        ConnectionReading.set(mConnection, reading);
    }

    /**
     * Binds an exchange that is about to send its request.
     *
     * @return the exchange's use of the connection; null if the connection has ended
     */
    synchronized @Nullable ConnectionUse bind(HttpExchange exchange, String id, long now) {
        if (mEnded || !isOpen()) {
            return null;
        }
        long idle = mRequests == 0 ? 0 : Nanos.toMillis(now - mIdleSince);
        mExchange = exchange;
        mHeadSeen = false;
        mSkipping = false;
        mSkipped = 0;
        mRequests++;
        if (!id.isEmpty()) {
            mSentIds.add(id);
        }
        mUse = new ConnectionUse(mNumber, mRequests, idle);
        return mUse;
    }

    synchronized void unbind(long now) {
        mExchange = null;
        mIdleSince = now;
    }

    /** Unbinds the exchange and closes the connection; bytes that still arrive are not reported. */
    void abandon() {
        synchronized (this) {
            mExchange = null;
            mEnded = true;
        }
        close();
    }

    synchronized @Nullable HttpExchange exchange() {
        return mExchange;
    }

    /**
     * Returns the exchange to which bytes that have arrived belong. If no exchange is bound, closes
     * the connection, so that no exchange can be bound to it any more.
     */
    @Nullable HttpExchange exchangeOrClose(DroppedResponseListener listener) {
        DroppedResponse unsolicited;
        synchronized (this) {
            if (mExchange != null) {
                return mExchange;
            }
            unsolicited = mEnded ? null : unsolicited();
            mEnded = true;
        }
        if (unsolicited != null) {
            listener.onDroppedResponse(unsolicited);
        }
        close();
        return null;
    }

    /** Returns whether a request with the given ID may have been sent on this connection. */
    synchronized boolean mayHaveSent(String id) {
        return !id.isEmpty() && mSentIds.mayContain(id);
    }

    /** Returns whether later requests may be sent on this connection. */
    synchronized boolean isReusable() {
        return !mAmbiguous && !mSentIds.isFull();
    }

    /** Returns whether a response without an ID can only belong to the bound request. */
    synchronized boolean isUnambiguous() {
        return mRequests == 1 && !mAmbiguous;
    }

    /** Marks the head of the current response as seen; returns whether it was not seen before. */
    synchronized boolean markHeadSeen() {
        boolean first = !mHeadSeen;
        mHeadSeen = true;
        return first;
    }

    /**
     * Marks the current response as one that does not belong to the bound request.
     *
     * @return whether the number of skipped responses is within the limit
     */
    synchronized boolean skipResponse() {
        mSkipping = true;
        mAmbiguous = true;
        mSkipped++;
        return mSkipped <= MAX_SKIPPED;
    }

    /** Marks the connection as ambiguous: the peer does not identify its responses. */
    synchronized void markAmbiguous() {
        mAmbiguous = true;
    }

    synchronized boolean isSkipping() {
        return mSkipping;
    }

    /** Finishes a skipped response; the next one may belong to the bound request. */
    synchronized void finishSkippedResponse() {
        mSkipping = false;
        mHeadSeen = false;
    }

    /** Describes bytes that arrived while no request was pending. */
    private DroppedResponse unsolicited() {
        HttpResponseHead unparsed = new HttpResponseHead(0, HttpHeaders.empty(), false);
        long idle = Nanos.toMillis(System.nanoTime() - mIdleSince);
        ConnectionUse use = new ConnectionUse(mNumber, mRequests, idle);
        return new DroppedResponse(mPeer, use, "", DroppedResponse.Reason.NOTHING_ASKED, unparsed);
    }

    /** Describes a response that does not belong to the bound request. */
    synchronized DroppedResponse describeDropped(
            String awaitedId, DroppedResponse.Reason reason, HttpResponseHead head) {
        return new DroppedResponse(mPeer, mUse, awaitedId, reason, head);
    }
}
