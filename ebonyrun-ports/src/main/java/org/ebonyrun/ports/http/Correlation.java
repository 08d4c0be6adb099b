package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Distinguishes the response to a request from other responses that arrive on its connection.
 *
 * <p>A peer may respond to a request twice. The second response then arrives where the response to
 * a later request is expected, so the order of responses identifies their requests only for peers
 * that are known to respond exactly once.
 *
 * <p>Implementations are immutable.
 */
public interface Correlation {
    /** Whether a response belongs to the pending request. */
    enum Match {
        /** The response belongs to the pending request. */
        OWN,
        /** The response belongs to a request with another ID. */
        OTHER,
        /** The response carries no request ID. */
        UNNAMED
    }

    /** Returns whether the response with the given head belongs to the request. */
    default Match match(HttpResponseHead head) {
        return Match.OWN;
    }

    /**
     * Returns the correlation ID that the peer echoes in its response; empty if there is none. No
     * connection carries the same ID twice, because the responses to two transmissions of a request
     * could not be distinguished.
     */
    default String id() {
        return "";
    }

    /** Returns whether the connection may carry other requests before and after this one. */
    default boolean sharesConnection() {
        return true;
    }

    /** Returns the key of the pooled connections; only requests with equal keys share them. */
    default String poolKey() {
        return "";
    }

    /** Returns a correlation for peers that respond to each request exactly once, in order. */
    static Correlation byOrder() {
        return OrderCorrelation.INSTANCE;
    }

    /**
     * Returns a correlation by a header that the peer echoes in its response.
     *
     * @throws IllegalArgumentException if the ID is empty
     */
    static Correlation byHeader(String header, String id) {
        checkArgument(!id.isEmpty(), "request has no ID for its header %s", header);
        return new HeaderCorrelation(header, id);
    }

    /**
     * Returns a correlation for requests that read a state and whose responses carry no request ID.
     * The response to an earlier request of the same kind may be accepted, so the reader must
     * tolerate a state that is older than its request.
     *
     * @param kind what is read; connections are shared only with requests of the same kind
     */
    static Correlation byKind(String kind) {
        return new RequestKindCorrelation(kind);
    }

    /** Returns a correlation for a request whose response carries no request ID. */
    static Correlation byConnection() {
        return ConnectionCorrelation.INSTANCE;
    }
}
