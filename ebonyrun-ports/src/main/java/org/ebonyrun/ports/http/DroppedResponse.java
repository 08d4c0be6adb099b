package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;

/**
 * A response, or a part of a response, that matches no pending request.
 *
 * @param peer the peer that sent the response
 * @param connectionUse the use of the connection when the response arrived
 * @param awaitedId the ID of the request that is pending on the connection; empty if there is none
 * @param reason why the response was dropped
 * @param head the head of the response; its status is zero if the response was not parsed
 */
public record DroppedResponse(
        InetSocketAddress peer,
        ConnectionUse connectionUse,
        String awaitedId,
        Reason reason,
        HttpResponseHead head) {
    /** Why a response was dropped. */
    public enum Reason {
        /** It carries the ID of another request. */
        OTHER_REQUEST,
        /** It carries no request ID, on a connection that has carried other requests. */
        UNNAMED,
        /** No request is pending on the connection. */
        NOTHING_ASKED
    }
}
