package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkNotNull;

import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;

/**
 * The first line of a request. Immutable and thread safe.
 *
 * @param method the method
 * @param target the path and query as they were sent
 * @param protocol the version of HTTP
 */
record RequestLine(String method, String target, Protocol protocol) {
    /** Stands for the first line of a request that can't be read. */
    static final RequestLine UNREADABLE = new RequestLine("GET", "/", Protocol.HTTP_1_1);

    RequestLine {
        checkNotNull(method, "no method");
        checkNotNull(target, "no target");
        checkNotNull(protocol, "no protocol");
    }

    /** Returns a copy of the first line of a request whose head was parsed. */
    static RequestLine of(HttpRequestPacket packet) {
        String path = packet.getRequestURI();
        String query = packet.getQueryString();
        return new RequestLine(
                packet.getMethod().getMethodString(),
                query == null ? path : path + "?" + query,
                packet.getProtocol());
    }
}
