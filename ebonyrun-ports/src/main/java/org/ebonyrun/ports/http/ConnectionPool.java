package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Idle connections by address and correlation key, the most recently used first.
 *
 * <p>Thread safe: guarded by this object's monitor. A connection is either in the pool or in use.
 * The pool never returns a connection for a request whose ID was already sent on it.
 */
final class ConnectionPool {
    private static final int MAX_IDLE_PER_KEY = 64;
    private static final int PUTS_PER_PURGE = 256;

    /**
     * An idle connection.
     *
     * @param connection the connection
     * @param expiresAt the monotonic time in nanoseconds from which the server may close it
     */
    private record Idle(ClientConnection connection, long expiresAt) {
        boolean isUsable(long now) {
            return connection.isOpen() && now - expiresAt < 0;
        }
    }

    /**
     * Identifies the connections that a request may use.
     *
     * @param address the address of the server
     * @param correlationKey the key of the request's correlation
     */
    private record PoolKey(InetSocketAddress address, String correlationKey) {}

    private final Map<PoolKey, Deque<Idle>> mIdle = new HashMap<>();
    private long mPuts;

    /**
     * Takes an open connection for a request, or returns null if there is none.
     *
     * <p>If the request's ID was already sent on all of them, closes the least recently used one.
     * The connection that the client then opens takes its place, so that a request that is sent
     * repeatedly does not fill the pool.
     *
     * @param correlation the correlation of the request
     */
    synchronized @Nullable ClientConnection take(
            InetSocketAddress address, Correlation correlation, long now) {
        PoolKey key = new PoolKey(address, correlation.poolKey());
        Deque<Idle> all = mIdle.getOrDefault(key, new ArrayDeque<>());
        Iterator<Idle> idle = all.iterator();
        while (idle.hasNext()) {
            Idle candidate = idle.next();
            ClientConnection connection = candidate.connection();
            if (!candidate.isUsable(now)) {
                idle.remove();
                connection.close();
            } else if (!connection.mayHaveSent(correlation.id())) {
                idle.remove();
                return connection;
            }
        }
        Idle replaced = all.pollLast();
        if (replaced != null) {
            replaced.connection().close();
        }
        return null;
    }

    /**
     * Returns a connection to the pool, and closes the least recently used one if too many are
     * idle.
     *
     * @param correlation the correlation of the last request on the connection
     * @param expiresAt the monotonic time in nanoseconds from which the server may close it
     */
    synchronized void put(
            InetSocketAddress address,
            Correlation correlation,
            ClientConnection connection,
            long expiresAt) {
        PoolKey key = new PoolKey(address, correlation.poolKey());
        Deque<Idle> idle = mIdle.computeIfAbsent(key, ignored -> new ArrayDeque<>());
        idle.addFirst(new Idle(connection, expiresAt));
        if (idle.size() > MAX_IDLE_PER_KEY) {
            idle.removeLast().connection().close();
        }
        if (++mPuts % PUTS_PER_PURGE == 0) {
            purge(System.nanoTime());
        }
    }

    /** Closes expired connections, including those to addresses that are no longer used. */
    private void purge(long now) {
        for (Deque<Idle> idle : mIdle.values()) {
            idle.removeIf(
                    entry -> {
                        boolean expired = !entry.isUsable(now);
                        if (expired) {
                            entry.connection().close();
                        }
                        return expired;
                    });
        }
        mIdle.values().removeIf(Deque::isEmpty);
    }

    /** Closes all idle connections. */
    synchronized void clear() {
        mIdle.values().forEach(idle -> idle.forEach(entry -> entry.connection().close()));
        mIdle.clear();
    }
}
