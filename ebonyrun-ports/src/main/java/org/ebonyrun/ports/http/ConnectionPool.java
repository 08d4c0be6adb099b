package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Idle connections by address, the most recently used first.
 *
 * <p>Thread safe: guarded by this object's monitor. A connection is in the pool or in use, never
 * both.
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

    /** Takes an open connection, or returns null if there is none. */
    synchronized @Nullable CallerConnection take(InetSocketAddress address, long now) {
        Deque<Idle> idle = mIdle.get(address);
        while (idle != null && !idle.isEmpty()) {
            Idle candidate = idle.pollFirst();
            if (candidate.connection().isOpen() && now - candidate.until() < 0) {
                return candidate.connection();
            }
            candidate.connection().close();
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
