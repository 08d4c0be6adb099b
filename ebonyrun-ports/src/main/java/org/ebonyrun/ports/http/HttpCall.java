package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.URI;
import java.util.Map;

/**
 * One HTTP request.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param method the HTTP method
 * @param uri an absolute {@code http} URI
 * @param headers header names and values
 * @param body the body, empty for none
 * @param timeoutMillis the longest time to the end of the response, in milliseconds
 */
public record HttpCall(
        String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
    /** Checks the URI and copies the headers. */
    public HttpCall {
        checkArgument(uri.getHost() != null, "uri has no host: %s", uri);
        headers = Map.copyOf(headers);
    }

    /** Creates a request with a JSON body. */
    public static HttpCall json(String method, URI uri, byte[] body, long timeoutMillis) {
        return new HttpCall(
                method, uri, Map.of("Content-Type", "application/json"), body, timeoutMillis);
    }

    /** Creates a request without a body. */
    public static HttpCall of(String method, URI uri, long timeoutMillis) {
        return new HttpCall(method, uri, Map.of(), new byte[0], timeoutMillis);
    }

    /** Returns the host and port. */
    String authority() {
        return uri.getHost() + ":" + port();
    }

    int port() {
        return uri.getPort() < 0 ? 80 : uri.getPort();
    }

    String target() {
        String query = uri.getRawQuery();
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        return query == null ? path : path + "?" + query;
    }
}
