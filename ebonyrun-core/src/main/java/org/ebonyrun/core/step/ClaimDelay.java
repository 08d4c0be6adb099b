package org.ebonyrun.core.step;

import org.ebonyrun.base.time.Nanos;

/**
 * Decides how long an entry waits before it claims a step that nobody owns.
 *
 * <p>Entries that own few steps claim first. Shortly after an outage of the shared store, owner
 * keys are gone because leases expired, though most owners still run. The owner holds results that
 * are not stored yet, so all others let it claim first.
 *
 * <p>Stateless and thread safe.
 */
public final class ClaimDelay {
    /** How long after an outage its effect on owner keys is expected, in nanoseconds. */
    static final long OUTAGE_EFFECT_NANOS = Nanos.ofMillis(1_000);

    /** The time that an owner needs to notice the end of an outage and claim its steps again. */
    static final long OWNER_FIRST_NANOS = Nanos.ofMillis(450);

    private static final long BASE_NANOS = Nanos.ofMillis(20);
    private static final long PER_STEP_NANOS = Nanos.ofMillis(60);
    private static final long JITTER_NANOS = Nanos.ofMillis(40);

    private ClaimDelay() {}

    /**
     * Returns the delay, in nanoseconds.
     *
     * @param ownedSteps the number of steps that the entry owns
     * @param nanosSinceOutage the time since the store was last seen to be unavailable
     * @param random a uniformly distributed number from 0 to 1
     */
    public static long nanos(int ownedSteps, long nanosSinceOutage, double random) {
        long ownerFirst = nanosSinceOutage < OUTAGE_EFFECT_NANOS ? OWNER_FIRST_NANOS : 0;
        return ownerFirst
                + BASE_NANOS
                + PER_STEP_NANOS * ownedSteps
                + (long) (JITTER_NANOS * random);
    }
}
