package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;
import org.ebonyrun.base.time.Nanos;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;

/**
 * What a client keeps of one of its connections.
 *
 * <p>Thread safe: guarded by this object's monitor. At most one exchange is bound at a time. A
 * connection carries each request id once, and none after an answer to another request has come.
 */
final class ClientConnection {
    private static final Attribute<ClientConnection> SELF =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("ebonyrun.caller");

    // Answers to other requests that one request waits through.
    private static final int MAX_SKIPPED = 8;

    private final Connection<?> mConnection;
    private final InetSocketAddress mPeer;
    private final long mNumber;
    private final RequestIdFingerprints mCarried = new RequestIdFingerprints();
    private @Nullable HttpExchange mExchange;
    private ConnectionUse mUse = ConnectionUse.NONE;
    private boolean mHeadSeen;
    private boolean mSkipping;
    private boolean mSuspect;
    private boolean mEnded;
    private int mSkipped;
    private int mRequests;
    private long mIdleSince;

    private ClientConnection(Connection<?> connection, InetSocketAddress peer, long number) {
        mConnection = connection;
        mPeer = peer;
        mNumber = number;
    }

    /** Wraps a connection that was just opened. */
    static ClientConnection open(Connection<?> connection, InetSocketAddress peer, long number) {
        ClientConnection wrapped = new ClientConnection(connection, peer, number);
        SELF.set(connection, wrapped);
        return wrapped;
    }

    /** Returns what is kept of a connection; null before {@link #open}. */
    static @Nullable ClientConnection of(Connection<?> connection) {
        return SELF.get(connection);
    }

    /** Returns the exchange that waits on a connection; null if none does. */
    static @Nullable HttpExchange exchangeOn(Connection<?> connection) {
        ClientConnection wrapped = of(connection);
        return wrapped == null ? null : wrapped.exchange();
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
            mCarried.add(id);
        }
        mUse = new ConnectionUse(mNumber, mRequests, idle);
        return mUse;
    }

    synchronized void unbind(long now) {
        mExchange = null;
        mIdleSince = now;
    }

    /** Ends the bound exchange and the connection; what still comes on it is nobody's. */
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
     * Returns the exchange that waits for the bytes that have arrived. If none does, the connection
     * ends here, and no exchange can be bound any more.
     */
    @Nullable HttpExchange exchangeOrClose(DroppedResponseListener observer) {
        DroppedResponse unasked;
        synchronized (this) {
            if (mExchange != null) {
                return mExchange;
            }
            unasked = mEnded ? null : unasked();
            mEnded = true;
        }
        if (unasked != null) {
            observer.onDroppedResponse(unasked);
        }
        close();
        return null;
    }

    /** Returns whether a request with an id may have been sent on this connection. */
    synchronized boolean mayHaveSent(String id) {
        return !id.isEmpty() && mCarried.mayContain(id);
    }

    /** Returns whether later requests may be sent on this connection. */
    synchronized boolean isReusable() {
        return !mSuspect && !mCarried.isFull();
    }

    /** Returns whether an answer without a name can only be that to the bound request. */
    synchronized boolean isUnambiguous() {
        return mRequests == 1 && !mSuspect;
    }

    /** Returns whether this is the first piece of the answer that is being read. */
    synchronized boolean markHeadSeen() {
        boolean first = !mHeadSeen;
        mHeadSeen = true;
        return first;
    }

    /**
     * Notes that the answer that is being read is not taken by the bound request.
     *
     * @return whether the connection may bring so many more of them
     */
    synchronized boolean skipResponse() {
        mSkipping = true;
        mSuspect = true;
        mSkipped++;
        return mSkipped <= MAX_SKIPPED;
    }

    /** Notes that the peer does not say whose its answers are. */
    synchronized void markAmbiguous() {
        mSuspect = true;
    }

    synchronized boolean isSkipping() {
        return mSkipping;
    }

    /** Ends an answer that was skipped; the next one may be that to the bound request. */
    synchronized void finishSkippedResponse() {
        mSkipping = false;
        mHeadSeen = false;
    }

    /** Describes bytes that came although no request waits. */
    private DroppedResponse unasked() {
        HttpResponseHead unread = new HttpResponseHead(0, HttpHeaders.empty(), false);
        long idle = Nanos.toMillis(System.nanoTime() - mIdleSince);
        ConnectionUse use = new ConnectionUse(mNumber, mRequests, idle);
        return new DroppedResponse(mPeer, use, "", DroppedResponse.Reason.NOTHING_ASKED, unread);
    }

    /** Describes an answer that the bound request does not take. */
    synchronized DroppedResponse describeDropped(
            String asked, DroppedResponse.Reason reason, HttpResponseHead head) {
        return new DroppedResponse(mPeer, mUse, asked, reason, head);
    }
}
