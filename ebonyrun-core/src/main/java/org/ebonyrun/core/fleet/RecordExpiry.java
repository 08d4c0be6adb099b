package org.ebonyrun.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides whether records of endpoints may have expired while the store did not answer.
 *
 * <p>A record expires after three heartbeats of silence. The last one may be up to one heartbeat
 * older than the outage, so no outage that is shorter than two heartbeats makes a record expire:
 * for instance a watch that is cut while the store serves all other calls. A record that is missing
 * after it was removed.
 *
 * <p>Stateless and thread safe.
 */
public final class RecordExpiry {
    private static final int MIN_MISSED_HEARTBEATS = 2;

    private RecordExpiry() {}

    /**
     * Returns whether records may have expired.
     *
     * @param silenceNanos the longest time for which the store may have been unavailable: from the
     *     last response before the outage to the first one after it
     * @param heartbeatNanos the interval at which an endpoint renews its record
     */
    public static boolean mayHaveExpired(long silenceNanos, long heartbeatNanos) {
        checkArgument(heartbeatNanos > 0, "heartbeat is not positive: %s", heartbeatNanos);
        return silenceNanos >= MIN_MISSED_HEARTBEATS * heartbeatNanos;
    }
}
