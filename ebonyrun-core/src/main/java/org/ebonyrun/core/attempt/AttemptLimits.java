package org.ebonyrun.core.attempt;

/**
 * Limits of one agent.
 *
 * @param slots the number of attempts that may run concurrently
 * @param maxQueued the maximum length of the queue, above which calls are refused
 * @param maxHeldBytes the total size of held samples, in bytes, at which new samples are refused
 */
public record AttemptLimits(int slots, int maxQueued, long maxHeldBytes) {
    /** Default limit of the total size of held samples, in bytes. */
    public static final long DEFAULT_MAX_HELD_BYTES = 32L << 20;

    /** Default limit of the queue length. */
    public static final int DEFAULT_MAX_QUEUED = 256;

    /** Returns the default limits for an endpoint with the given number of slots. */
    public static AttemptLimits ofSlots(int slots) {
        return new AttemptLimits(slots, DEFAULT_MAX_QUEUED, DEFAULT_MAX_HELD_BYTES);
    }
}
