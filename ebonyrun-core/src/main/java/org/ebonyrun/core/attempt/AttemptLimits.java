package org.ebonyrun.core.attempt;

/**
 * Limits of one agent.
 *
 * @param slots how many attempts run at once
 * @param maxQueued how many calls wait at most
 * @param maxHeldBytes bytes of finished samples above which no sample is started
 */
public record AttemptLimits(int slots, int maxQueued, long maxHeldBytes) {
    /** Bytes of finished samples held by default. */
    public static final long DEFAULT_MAX_HELD_BYTES = 32L << 20;

    /** Calls that wait by default. */
    public static final int DEFAULT_MAX_QUEUED = 256;

    /** Returns the default limits for an endpoint with the given number of slots. */
    public static AttemptLimits ofSlots(int slots) {
        return new AttemptLimits(slots, DEFAULT_MAX_QUEUED, DEFAULT_MAX_HELD_BYTES);
    }
}
