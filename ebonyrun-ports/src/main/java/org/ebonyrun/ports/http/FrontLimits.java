package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the largest request line and headers, in bytes
 * @param bodyBytes the largest body, in bytes
 * @param headerMillis how long a request line and headers may take, in milliseconds
 * @param idleMillis how long a connection may be idle, in milliseconds
 */
public record FrontLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is known. */
    public static final FrontLimits DEFAULT = new FrontLimits(16_384, 32 << 20, 5_000, 30_000);

    /** Checks that all limits are positive. */
    public FrontLimits {
        checkArgument(maxHeaderBytes > 0, "header limit is not positive: %s", maxHeaderBytes);
        checkArgument(maxBodyBytes > 0, "body limit is not positive: %s", maxBodyBytes);
        checkArgument(
                headerTimeoutMillis > 0, "header time is not positive: %s", headerTimeoutMillis);
        checkArgument(idleTimeoutMillis > 0, "idle time is not positive: %s", idleTimeoutMillis);
    }
}
