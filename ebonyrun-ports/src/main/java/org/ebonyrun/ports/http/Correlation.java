package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Tells the answer to a request from other answers that arrive on its connection.
 *
 * <p>A peer may answer a request twice. The second answer then arrives where the answer to a later
 * request is due, so the order of answers says whose they are only for peers that are known to
 * answer once.
 *
 * <p>Implementations are immutable.
 */
public interface Correlation {
    /** Whose answer it is that a head begins. */
    enum Match {
        /** The answer to the request. */
        OWN,
        /** The answer to a request with another id. */
        OTHER,
        /** The answer names no request. */
        UNNAMED
    }

    /** Returns whose answer a head begins. */
    default Match match(HttpResponseHead head) {
        return Match.OWN;
    }

    /**
     * Returns the id that the peer repeats in its answer; empty if there is none. No connection
     * carries the same id twice, since the answers to two sendings could not be told apart.
     */
    default String id() {
        return "";
    }

    /** Returns whether other requests may use the connection before and after this one. */
    default boolean sharesConnection() {
        return true;
    }

    /** Returns the name of the requests that may share a connection with this one. */
    default String poolKey() {
        return "";
    }

    /** Returns a correlation for peers that answer each request once, in order. */
    static Correlation byOrder() {
        return OrderCorrelation.INSTANCE;
    }

    /**
     * Returns a correlation by a header that the peer repeats in its answer.
     *
     * @throws IllegalArgumentException if the id is empty
     */
    static Correlation byHeader(String header, String id) {
        checkArgument(!id.isEmpty(), "request without a %s", header);
        return new HeaderCorrelation(header, id);
    }

    /**
     * Returns a correlation for requests that read a state and that their answers do not name. The
     * answer to an earlier request of the same kind may be taken, so the reader must bear a state
     * that is older than its request.
     *
     * @param kind what is asked; connections are shared with requests of this kind only
     */
    static Correlation byKind(String kind) {
        return new RequestKindCorrelation(kind);
    }

    /** Returns a correlation for a request that its answer does not name. */
    static Correlation byConnection() {
        return ConnectionCorrelation.INSTANCE;
    }
}
