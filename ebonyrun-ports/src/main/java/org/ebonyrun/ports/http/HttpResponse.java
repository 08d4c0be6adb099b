package org.ebonyrun.ports.http;

import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body
 */
public record HttpResponse(int status, HttpHeaders headers, byte[] body) {
    /** Creates a response without headers. */
    public HttpResponse(int status, byte[] body) {
        this(status, HttpHeaders.empty(), body);
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
