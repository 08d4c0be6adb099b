package org.ebonyrun.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the retries of a class to a share of its first attempts, so that retries can't feed an
 * overload.
 *
 * <p>Not thread safe; confined to the dispatch duty.
 */
public final class RetryBudget {
    private final double mPerAttempt;
    private final double mMax;
    private double mTokens;

    private RetryBudget(double perAttempt, double max) {
        checkArgument(perAttempt >= 0, "share is negative: %s", perAttempt);
        checkArgument(max >= 1, "burst is below one: %s", max);
        mPerAttempt = perAttempt;
        mMax = max;
        mTokens = max;
    }

    /**
     * Creates a full budget.
     *
     * @param perAttempt retries earned by each first attempt
     * @param max the greatest number of retries that can be saved up
     */
    public static RetryBudget create(double perAttempt, double max) {
        return new RetryBudget(perAttempt, max);
    }

    /** Takes note of a first attempt. */
    public void onFirstAttempt() {
        mTokens = Math.min(mMax, mTokens + mPerAttempt);
    }

    /** Takes one retry from the budget; returns false if there is none. */
    public boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
