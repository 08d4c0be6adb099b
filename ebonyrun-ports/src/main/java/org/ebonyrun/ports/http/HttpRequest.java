package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;

/**
 * One HTTP request.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param method the HTTP method
 * @param address the address of the server
 * @param target the path and query, encoded as they are sent
 * @param headers header names and values; a {@code Host} is added when there is none. Hop-by-hop
 *     headers and those that are malformed are not sent.
 * @param body the body, empty for none
 * @param timeoutMillis the maximum time until the response is complete, in milliseconds; zero for
 *     no limit except the connect timeout
 * @param correlation how the response is distinguished from others on its connection
 * @param maxResponseBytes the maximum size of the response's body, in bytes; zero for no limit,
 *     which is only safe if the listener does not collect the body
 */
public record HttpRequest(
        String method,
        InetSocketAddress address,
        String target,
        HttpHeaders headers,
        byte[] body,
        long timeoutMillis,
        Correlation correlation,
        int maxResponseBytes) {
    /** The default maximum size of a response's body, in bytes. */
    public static final int DEFAULT_MAX_RESPONSE_BYTES = 8 << 20;

    private static final int DEFAULT_PORT = 80;
    private static final HttpHeaders JSON = HttpHeaders.of("Content-Type", "application/json");

    /**
     * Creates a request with a connection of its own, which is right for every peer. A peer that is
     * known to respond to each request exactly once may be asked {@link Correlation#byOrder()}.
     */
    public HttpRequest(
            String method,
            InetSocketAddress address,
            String target,
            HttpHeaders headers,
            byte[] body,
            long timeoutMillis) {
        this(method, address, target, headers, body, timeoutMillis, Correlation.byConnection());
    }

    /** Creates a request whose response is limited to the default size. */
    public HttpRequest(
            String method,
            InetSocketAddress address,
            String target,
            HttpHeaders headers,
            byte[] body,
            long timeoutMillis,
            Correlation correlation) {
        this(
                method,
                address,
                target,
                headers,
                body,
                timeoutMillis,
                correlation,
                DEFAULT_MAX_RESPONSE_BYTES);
    }

    /** Checks the limit and the target. */
    public HttpRequest {
        checkArgument(maxResponseBytes >= 0, "negative limit: %s", maxResponseBytes);
        checkArgument(target.startsWith("/"), "target does not start with a slash: '%s'", target);
    }

    /**
     * Creates a request from an absolute URI.
     *
     * @throws IllegalArgumentException if the URI has no host
     */
    public static HttpRequest to(
            String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
        checkArgument(uri.getHost() != null, "uri has no host: %s", uri);
        int port = uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort();
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        String target = uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
        HttpHeaders.Builder all = HttpHeaders.builder();
        headers.forEach(all::add);
        InetSocketAddress address = new InetSocketAddress(uri.getHost(), port);
        return new HttpRequest(method, address, target, all.build(), body, timeoutMillis);
    }

    /** Creates a request with a JSON body. */
    public static HttpRequest json(String method, URI uri, byte[] body, long timeoutMillis) {
        return to(method, uri, Map.of("Content-Type", "application/json"), body, timeoutMillis);
    }

    /** Creates a request with a JSON body. */
    public static HttpRequest json(
            String method,
            InetSocketAddress address,
            String target,
            byte[] body,
            long timeoutMillis) {
        return new HttpRequest(method, address, target, JSON, body, timeoutMillis);
    }

    /** Creates a request without a body. */
    public static HttpRequest of(String method, URI uri, long timeoutMillis) {
        return to(method, uri, Map.of(), new byte[0], timeoutMillis);
    }

    /** Creates a request without a body. */
    public static HttpRequest of(
            String method, InetSocketAddress address, String target, long timeoutMillis) {
        return new HttpRequest(
                method, address, target, HttpHeaders.empty(), new byte[0], timeoutMillis);
    }

    /** Returns a copy of this request with the given correlation. */
    public HttpRequest withCorrelation(Correlation newCorrelation) {
        return new HttpRequest(
                method,
                address,
                target,
                headers,
                body,
                timeoutMillis,
                newCorrelation,
                maxResponseBytes);
    }

    /** Returns a copy of this request with the given headers. */
    public HttpRequest withHeaders(HttpHeaders newHeaders) {
        return new HttpRequest(
                method,
                address,
                target,
                newHeaders,
                body,
                timeoutMillis,
                correlation,
                maxResponseBytes);
    }

    /** Returns a copy of this request with the given limit of the response's body. */
    public HttpRequest withMaxResponseBytes(int newMaxResponseBytes) {
        return new HttpRequest(
                method,
                address,
                target,
                headers,
                body,
                timeoutMillis,
                correlation,
                newMaxResponseBytes);
    }

    /**
     * Returns whether the connection may carry other requests before and after this one. This is
     * false for {@code HEAD}, because its responses end where responses to other methods have a
     * body.
     */
    boolean sharesConnection() {
        return correlation.sharesConnection() && !method.equals("HEAD");
    }

    /** Returns the host and port. */
    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }
}
