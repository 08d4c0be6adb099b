package org.ebonyrun.core.scaling;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.time.Nanos;

/**
 * The operator's bounds on the number of endpoints of a service in each failure domain.
 *
 * <p>Immutable and thread safe.
 *
 * @param min the smallest number of endpoints in a failure domain
 * @param max the largest number of endpoints in a failure domain
 * @param bootNanos the time from the order of an endpoint until it serves, in nanoseconds
 */
public record ScalingBounds(int min, int max, long bootNanos) {
    /** The largest number of endpoints that bounds may allow. */
    public static final int MAX_ENDPOINTS = 10_000;

    /** The longest boot time that bounds may have. */
    public static final long MAX_BOOT_NANOS = Nanos.ofMillis(600_000);

    /** Checks the bounds. */
    public ScalingBounds {
        checkArgument(min >= 0, "min %s is negative", min);
        checkArgument(max >= min, "max %s is less than min %s", max, min);
        checkArgument(max <= MAX_ENDPOINTS, "max %s is above %s", max, MAX_ENDPOINTS);
        checkArgument(
                bootNanos >= 0 && bootNanos <= MAX_BOOT_NANOS,
                "boot time out of range: %s ns",
                bootNanos);
    }

    /** Returns the number within the bounds that is closest to a number. */
    public int clamp(int count) {
        return Math.max(min, Math.min(max, count));
    }
}
