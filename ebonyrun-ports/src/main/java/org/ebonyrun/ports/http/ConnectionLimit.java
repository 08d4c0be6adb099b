package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which connections of callers end when there are too many.
 *
 * <p>Answers crowds that connect and send little or nothing: each of their connections holds a
 * descriptor, which the shared store and endpoints need as well. Connections on which a request is
 * read or answered never end for others. Of the rest, those that never carried a request end first,
 * and then those that were unused for the longest time. Several end at a time, so that a crowd does
 * not cost a look at all connections for each of its own. Immutable and thread safe.
 *
 * @param maxConnections how many connections may be open
 */
public record ConnectionLimit(int maxConnections) {
    private static final int SHARE_ENDED = 64;

    /** A candidate as it was at one moment; other threads change it while candidates are sorted. */
    private record Snapshot<T>(T candidate, boolean hasServed, long lastActiveAt) {}

    /** What is known of a connection. */
    interface Candidate {
        /** Returns whether a request is being read or answered. */
        boolean isBusy();

        /** Returns whether a request was answered. */
        boolean hasServed();

        /** Returns when bytes were last read or written, or the connection was accepted. */
        long lastActiveAt();
    }

    /** Checks that the limit is positive. */
    public ConnectionLimit {
        checkArgument(maxConnections > 0, "limit is not positive: %s", maxConnections);
    }

    /** Returns the limit for callers of a process that may open a number of descriptors. */
    public static ConnectionLimit ofDescriptors(int descriptors) {
        return new ConnectionLimit(Math.max(1, descriptors / 4 * 3));
    }

    /** Returns a limit that is never reached. */
    static ConnectionLimit none() {
        return new ConnectionLimit(Integer.MAX_VALUE);
    }

    /** Returns whether another connection is one too many. */
    boolean isReached(int connections) {
        return connections >= maxConnections;
    }

    /**
     * Returns the connections that end in favour of a new one; if there are none, the new one ends.
     */
    <T extends Candidate> List<T> chooseEnded(Collection<T> connections) {
        return connections.stream()
                .filter(candidate -> !candidate.isBusy())
                .map(one -> new Snapshot<>(one, one.hasServed(), one.lastActiveAt()))
                .sorted(
                        Comparator.comparing(Snapshot<T>::hasServed)
                                .thenComparing(Snapshot::lastActiveAt))
                .limit(Math.max(1, maxConnections / SHARE_ENDED))
                .map(Snapshot::candidate)
                .toList();
    }
}
