package org.ebonyrun.ports.http;

import java.net.InetSocketAddress;

/**
 * An answer, or bytes of one, that belongs to no request that waits for it.
 *
 * @param peer who sent it
 * @param use the use of its connection at that time
 * @param asked the id of the request that waits on the connection; empty if none does
 * @param reason why no request may take it
 * @param head the head of the answer; of status zero where it was not read
 */
public record DroppedResponse(
        InetSocketAddress peer,
        ConnectionUse connectionUse,
        String awaitedId,
        Reason reason,
        HttpResponseHead head) {
    /** Why no request may take an answer. */
    public enum Reason {
        /** It names another request. */
        OTHER_REQUEST,
        /** It names no request, on a connection that has carried others. */
        UNNAMED,
        /** No request waits on the connection. */
        NOTHING_ASKED
    }
}
