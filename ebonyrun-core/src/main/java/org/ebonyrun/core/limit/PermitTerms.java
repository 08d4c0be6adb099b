package org.ebonyrun.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.time.Nanos;

/**
 * How the limit of an endpoint is divided into permits: the holder of each permit may send one
 * request per period.
 *
 * <p>Invariant: all permits together admit at most {@code requestsPerSecond * t + permits()}
 * requests in any time of {@code t} seconds. Immutable and thread safe.
 *
 * @param requestsPerSecond the limit
 */
public record PermitTerms(double requestsPerSecond) {
    // Two permits more than whole requests per second, so that two entries can use an endpoint that
    // takes less than one, and a limited number, so that an entry needs few permits for a high one.
    private static final int EXTRA_PERMITS = 2;
    private static final int MAX_PERMITS = 16;
    // An entry learns the end of a limit from a response, so some requests are sent at any limit.
    private static final double MIN_REQUESTS_PER_SECOND = 0.25;

    /** Checks that the limit is finite and not negative. */
    public PermitTerms {
        checkArgument(
                requestsPerSecond >= 0 && Double.isFinite(requestsPerSecond),
                "limit is %s requests/s",
                requestsPerSecond);
    }

    /** Returns the number of permits. */
    public int permits() {
        return (int) Math.min(MAX_PERMITS, EXTRA_PERMITS + Math.floor(requestsPerSecond));
    }

    /** Returns the time between two requests of one permit, in nanoseconds. */
    public long periodNanos() {
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
        return (long) (permits() / rate * Nanos.PER_SECOND);
    }
}
