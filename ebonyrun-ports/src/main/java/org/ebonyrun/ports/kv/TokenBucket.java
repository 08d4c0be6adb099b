package org.ebonyrun.ports.kv;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.time.Nanos;

/**
 * A token bucket that limits the rate of calls of a process, so that a fleet stays below the
 * service's rate limit even if all processes are busy at once.
 *
 * <p>Not thread safe; its users must synchronize access.
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
     * Creates a full bucket.
     *
     * @param perSecond the number of tokens that are added per second
     * @param burst the capacity of the bucket
     */
    public static TokenBucket create(double perSecond, double burst) {
        return new TokenBucket(perSecond, burst);
    }

    /** Takes one token for a call; returns false if there is none. */
    public boolean tryAcquire(long now) {
        double added = (now - mUpdated) * mPerSecond / Nanos.PER_SECOND;
        mTokens = Math.min(mBurst, mTokens + Math.max(0, added));
        mUpdated = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
