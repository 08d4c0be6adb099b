package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Idle connections by address, the most recently used first.
 *
 * <p>Thread safe: guarded by this object's monitor. A connection is in the pool or in use, never
 * both. No connection is handed out for a request whose id it has carried.
 */
final class ConnectionPool {
    private static final int MAX_IDLE_PER_ADDRESS = 64;

    /**
     * An idle connection.
     *
     * @param connection the connection
     * @param until the monotonic time in nanoseconds from which the server may close it
     */
    private record Idle(CallerConnection connection, long until) {}

    private final Map<InetSocketAddress, Deque<Idle>> mIdle = new HashMap<>();

    /**
     * Takes an open connection for a request, or returns null if there is none.
     *
     * @param id the request's id; empty if it has none
     */
    synchronized @Nullable CallerConnection take(InetSocketAddress address, String id, long now) {
        Iterator<Idle> idle = mIdle.getOrDefault(address, new ArrayDeque<>()).iterator();
        while (idle.hasNext()) {
            Idle candidate = idle.next();
            CallerConnection connection = candidate.connection();
            boolean usable = connection.isOpen() && now - candidate.until() < 0;
            if (!usable) {
                idle.remove();
                connection.close();
            } else if (!connection.mayHaveCarried(id)) {
                idle.remove();
                return connection;
            }
        }
        return null;
    }

    /** Puts a connection back, or closes it when enough are idle. */
    synchronized void put(InetSocketAddress address, CallerConnection connection, long until) {
        Deque<Idle> idle = mIdle.computeIfAbsent(address, ignored -> new ArrayDeque<>());
        if (idle.size() >= MAX_IDLE_PER_ADDRESS) {
            connection.close();
        } else {
            idle.addFirst(new Idle(connection, until));
        }
    }

    /** Closes the idle connections to an address. */
    synchronized void drop(InetSocketAddress address) {
        Deque<Idle> idle = mIdle.remove(address);
        if (idle != null) {
            idle.forEach(entry -> entry.connection().close());
        }
    }

    /** Closes all idle connections. */
    synchronized void clear() {
        mIdle.values().forEach(idle -> idle.forEach(entry -> entry.connection().close()));
        mIdle.clear();
    }
}
