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
public record FrontLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Limits until a configuration is known. */
    public static final FrontLimits DEFAULT = new FrontLimits(16_384, 32 << 20, 5_000, 30_000);

    /** Checks that all limits are positive. */
    public FrontLimits {
        checkArgument(headerBytes > 0, "header limit is not positive: %s", headerBytes);
        checkArgument(bodyBytes > 0, "body limit is not positive: %s", bodyBytes);
        checkArgument(headerMillis > 0, "header time is not positive: %s", headerMillis);
        checkArgument(idleMillis > 0, "idle time is not positive: %s", idleMillis);
    }
}
