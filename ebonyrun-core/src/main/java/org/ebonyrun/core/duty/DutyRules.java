package org.ebonyrun.core.duty;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What keeps the calls of successive holders apart.
 *
 * <p>Immutable and thread safe.
 *
 * @param fenced whether those who are called refuse calls whose fence is outdated
 * @param leaseNanos the time within which two holders must not act by turns, and within which calls
 *     of an earlier holder may take effect, in nanoseconds
 */
public record DutyRules(boolean fenced, long leaseNanos) {
    /** Checks the time. */
    public DutyRules {
        checkArgument(leaseNanos >= 0, "lease time is negative: %s", leaseNanos);
    }
}
