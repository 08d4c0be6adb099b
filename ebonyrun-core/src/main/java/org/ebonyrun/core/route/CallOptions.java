package org.ebonyrun.core.route;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How the operators want the calls of a route treated.
 *
 * @param timeoutMillis the longest time that a caller is kept waiting, in milliseconds
 * @param goalMillis the time within which an answer is on time, in milliseconds
 * @param maxAttempts the most endpoints on which one call may run
 * @param priority the rank of the route; zero is the highest
 */
public record CallOptions(
        long timeoutMillis, long targetLatencyMillis, int maxAttempts, int priority) {
    /** Checks that times and attempts are positive. */
    public CallOptions {
        checkArgument(timeoutMillis > 0, "timeout is not positive: %s ms", timeoutMillis);
        checkArgument(targetLatencyMillis > 0, "goal is not positive: %s ms", targetLatencyMillis);
        checkArgument(maxAttempts > 0, "attempts are not positive: %s", maxAttempts);
    }
}
