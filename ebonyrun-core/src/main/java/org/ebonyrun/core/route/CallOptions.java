package org.ebonyrun.core.route;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The operator's settings for the calls of a route.
 *
 * @param timeoutMillis the time after which a call fails, in milliseconds
 * @param targetLatencyMillis the target latency: the time within which a response is on time, in
 *     milliseconds
 * @param maxAttempts the maximum number of endpoints at which one call may run
 * @param priority the priority of the route; zero is the highest
 */
public record CallOptions(
        long timeoutMillis, long targetLatencyMillis, int maxAttempts, int priority) {
    /** Checks that both times and the number of attempts are positive. */
    public CallOptions {
        checkArgument(timeoutMillis > 0, "timeout is not positive: %s ms", timeoutMillis);
        checkArgument(
                targetLatencyMillis > 0,
                "target latency is not positive: %s ms",
                targetLatencyMillis);
        checkArgument(
                maxAttempts > 0, "maximum number of attempts is not positive: %s", maxAttempts);
    }
}
