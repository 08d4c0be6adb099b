package org.ebonyrun.core.scaling;

import org.ebonyrun.base.id.FailureDomain;

/**
 * An order of a number of endpoints in a failure domain, and what it follows from.
 *
 * <p>Immutable and thread safe.
 *
 * @param domain the failure domain
 * @param from the number that was ordered before, or that served if none was
 * @param to the number that is ordered
 * @param reason why it is ordered
 * @param serving the number of endpoints that serve now
 * @param demand the demand of the service that the order answers, in places
 */
public record ScalingOrder(
        FailureDomain domain, int from, int to, Reason reason, int serving, double demand) {
    /** Why endpoints are ordered. */
    public enum Reason {
        /** The demand needs more. */
        DEMAND,
        /** The demand has needed fewer for the hold time. */
        QUIET,
        /** The number was outside of the bounds. */
        BOUNDS,
        /** The platform did not reply to the last order. */
        UNANSWERED,
        /** The number of endpoints departs from the one ordered. */
        DEPARTED
    }
}
