package org.ebonyrun.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.time.Nanos;

/**
 * How long a process keeps permits, by the time within which a deployment's processes hear of each
 * other through the store.
 *
 * <p>Immutable and thread safe.
 *
 * @param idleNanos how much longer than its period an unused permit is kept
 * @param turnNanos how long a process keeps a permit before it passes it on, if there are too few
 *     for all
 */
public record PermitTimings(long idleNanos, long turnNanos) {
    private static final long MIN_CONTACT_MILLIS = 300;
    private static final long MAX_CONTACT_MILLIS = 30_000;

    /** Checks that both times are positive. */
    public PermitTimings {
        checkArgument(idleNanos > 0, "idle time is not positive: %s ns", idleNanos);
        checkArgument(turnNanos > 0, "turn is not positive: %s ns", turnNanos);
    }

    /** Returns the times for a contact limit, in milliseconds. */
    public static PermitTimings ofContact(long contactMillis) {
        long contact = Math.max(MIN_CONTACT_MILLIS, Math.min(MAX_CONTACT_MILLIS, contactMillis));
        return new PermitTimings(Nanos.ofMillis(contact / 3), Nanos.ofMillis(2 * contact / 3));
    }
}
