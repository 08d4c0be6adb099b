package org.ebonyrun.core.route;

/**
 * What callers may send.
 *
 * @param headerBytes the largest headers, in bytes
 * @param bodyBytes the largest body, in bytes
 * @param headerMillis how long headers may take, in milliseconds
 * @param idleMillis how long a connection may be idle, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
