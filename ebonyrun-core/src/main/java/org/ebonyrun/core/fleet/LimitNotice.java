package org.ebonyrun.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What one response says about the limit of the endpoint that sent it: the requests per second that
 * the endpoint takes from all entries together.
 *
 * <p>Immutable and thread safe.
 *
 * @param known whether the response says anything about it
 * @param requestsPerSecond the limit; infinite if the endpoint has none
 */
public record LimitNotice(boolean known, double requestsPerSecond) {
    /** The response says nothing about a limit. */
    public static final LimitNotice NONE = new LimitNotice(false, Double.POSITIVE_INFINITY);

    /** The endpoint has no limit. */
    public static final LimitNotice UNLIMITED = new LimitNotice(true, Double.POSITIVE_INFINITY);

    /** Checks that the limit is not negative. */
    public LimitNotice {
        checkArgument(requestsPerSecond >= 0, "limit is %s requests/s", requestsPerSecond);
    }

    /** Creates the notice of an endpoint that names a limit. */
    public static LimitNotice limitedTo(double requestsPerSecond) {
        return new LimitNotice(true, requestsPerSecond);
    }

    /** Returns whether the endpoint has a limit. */
    public boolean isLimit() {
        return known && Double.isFinite(requestsPerSecond);
    }
}
