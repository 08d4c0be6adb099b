package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Idle connections by address and kind of request, the most recently used first.
 *
 * <p>Thread safe: guarded by this object's monitor. A connection is in the pool or in use, never
 * both. No connection is handed out for a request whose id it has carried.
 */
final class ConnectionPool {
    private static final int MAX_IDLE_PER_LANE = 64;
    private static final int PUTS_PER_PURGE = 256;

    /**
     * An idle connection.
     *
     * @param connection the connection
     * @param until the monotonic time in nanoseconds from which the server may close it
     */
    private record Idle(ClientConnection connection, long until) {
        boolean isUsable(long now) {
            return connection.isOpen() && now - until < 0;
        }
    }

    /**
     * Connections that the same requests may use.
     *
     * @param address where they lead
     * @param name the requests' name
     */
    private record Lane(InetSocketAddress address, String name) {}

    private final Map<Lane, Deque<Idle>> mIdle = new HashMap<>();
    private long mPuts;

    /**
     * Takes an open connection for a request, or returns null if there is none.
     *
     * <p>If all have carried the id, closes the one that was used longest ago: the connection that
     * the caller opens takes its place, so that requests which are sent again and again do not fill
     * the pool.
     *
     * @param request how the request's answer is told from others
     */
    synchronized @Nullable ClientConnection take(
            InetSocketAddress address, Correlation request, long now) {
        Lane lane = new Lane(address, request.poolKey());
        Deque<Idle> all = mIdle.getOrDefault(lane, new ArrayDeque<>());
        Iterator<Idle> idle = all.iterator();
        while (idle.hasNext()) {
            Idle candidate = idle.next();
            ClientConnection connection = candidate.connection();
            if (!candidate.isUsable(now)) {
                idle.remove();
                connection.close();
            } else if (!connection.mayHaveSent(request.id())) {
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
     * Puts a connection back, and closes the one that was used least recently when enough are idle.
     *
     * @param request how the answer that came last was told from others
     */
    synchronized void put(
            InetSocketAddress address,
            Correlation request,
            ClientConnection connection,
            long until) {
        Lane lane = new Lane(address, request.poolKey());
        Deque<Idle> idle = mIdle.computeIfAbsent(lane, ignored -> new ArrayDeque<>());
        idle.addFirst(new Idle(connection, until));
        if (idle.size() > MAX_IDLE_PER_LANE) {
            idle.removeLast().connection().close();
        }
        if (++mPuts % PUTS_PER_PURGE == 0) {
            purge(System.nanoTime());
        }
    }

    /** Closes what is over, also of addresses that nobody asks for any more. */
    private void purge(long now) {
        for (Deque<Idle> idle : mIdle.values()) {
            idle.removeIf(
                    entry -> {
                        boolean over = !entry.isUsable(now);
                        if (over) {
                            entry.connection().close();
                        }
                        return over;
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
