package org.ebonyrun.ports.kv;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.time.Nanos;

/**
 * A token bucket that limits how many calls a process makes in a second, so that a fleet stays
 * below the service's rate even if every process is busy at once.
 *
 * <p>Not thread safe; its owner guards it.
 */
public final class TokenBucket {
    private final double mPerSecond;
    private final double mBurst;
    private double mTokens;
    private long mUpdated;

    private TokenBucket(double perSecond, double burst) {
        checkArgument(perSecond > 0, "rate is not positive: %s", perSecond);
        checkArgument(burst >= 1, "burst is below one: %s", burst);
        mPerSecond = perSecond;
        mBurst = burst;
        mTokens = burst;
    }

    /**
     * Creates a full budget.
     *
     * @param perSecond calls that are earned in a second
     * @param burst the greatest number of calls that can be saved up
     */
    public static TokenBucket create(double perSecond, double burst) {
        return new TokenBucket(perSecond, burst);
    }

    /** Takes one call from the budget; returns false if there is none. */
    public boolean tryAcquire(long now) {
        double earned = (now - mUpdated) * mPerSecond / Nanos.PER_SECOND;
        mTokens = Math.min(mBurst, mTokens + Math.max(0, earned));
        mUpdated = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
