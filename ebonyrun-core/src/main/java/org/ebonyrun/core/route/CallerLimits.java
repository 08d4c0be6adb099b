package org.ebonyrun.core.route;

/**
 * Limits for the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum total size of a request's headers, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeoutMillis the timeout for the headers of a request to arrive, in milliseconds
 * @param idleTimeoutMillis the time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
