package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits on the size and the duration of a caller's requests.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers, in bytes
 * @param maxBodyBytes the maximum size of the body, in bytes
 * @param headerTimeoutMillis the maximum time to receive the request line and headers, in
 *     milliseconds
 * @param idleTimeoutMillis the maximum idle time of a connection, in milliseconds
 */
public record FrontLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply until a configuration is available. */
    public static final FrontLimits DEFAULT = new FrontLimits(16_384, 32 << 20, 5_000, 30_000);

    /** Checks that all limits are positive. */
    public FrontLimits {
        checkArgument(maxHeaderBytes > 0, "header limit is not positive: %s", maxHeaderBytes);
        checkArgument(maxBodyBytes > 0, "body limit is not positive: %s", maxBodyBytes);
        checkArgument(
                headerTimeoutMillis > 0, "header timeout is not positive: %s", headerTimeoutMillis);
        checkArgument(idleTimeoutMillis > 0, "idle timeout is not positive: %s", idleTimeoutMillis);
    }
}
