package org.ebonyrun.ports.http;

/**
 * The status and headers of a response.
 *
 * @param status the status code
 * @param headers the headers
 * @param framed whether the end of the body is indicated by a length or chunked encoding; otherwise
 *     the body ends when the connection is closed
 */
public record HttpResponseHead(int status, HttpHeaders headers, boolean framed) {
    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
