package org.ebonyrun.ports.http;

import org.ebonyrun.base.time.Nanos;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;

/**
 * What a client keeps of one of its connections.
 *
 * <p>Thread safe: guarded by this object's monitor. At most one exchange is bound at a time.
 */
final class CallerConnection {
    private static final Attribute<CallerConnection> SELF =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("ebonyrun.caller");

    private final Connection<?> mConnection;
    private final long mNumber;
    private @Nullable HttpExchange mExchange;
    private boolean mHeadSeen;
    private int mRequests;
    private long mIdleSince;

    private CallerConnection(Connection<?> connection, long number) {
        mConnection = connection;
        mNumber = number;
    }

    /** Wraps a connection that was just opened. */
    static CallerConnection open(Connection<?> connection, long number) {
        CallerConnection wrapped = new CallerConnection(connection, number);
        SELF.set(connection, wrapped);
        return wrapped;
    }

    /** Returns what is kept of a connection; null before {@link #open}. */
    static @Nullable CallerConnection of(Connection<?> connection) {
        return SELF.get(connection);
    }

    /** Returns the exchange that waits on a connection; null if none does. */
    static @Nullable HttpExchange exchangeOn(Connection<?> connection) {
        CallerConnection wrapped = of(connection);
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

    /** Binds an exchange that is about to send its request, and tells its use of the connection. */
    synchronized ConnectionUse bind(HttpExchange exchange, long now) {
        long idle = mRequests == 0 ? 0 : Nanos.toMillis(now - mIdleSince);
        mExchange = exchange;
        mHeadSeen = false;
        mRequests++;
        return new ConnectionUse(mNumber, mRequests, idle);
    }

    synchronized void unbind(long now) {
        mExchange = null;
        mIdleSince = now;
    }

    synchronized @Nullable HttpExchange exchange() {
        return mExchange;
    }

    /** Returns whether this is the first piece of the answer that is being read. */
    synchronized boolean beginsAnswer() {
        boolean first = !mHeadSeen;
        mHeadSeen = true;
        return first;
    }
}
