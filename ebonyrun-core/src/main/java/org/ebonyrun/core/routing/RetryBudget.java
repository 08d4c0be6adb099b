package org.ebonyrun.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Token bucket that limits the retries of a class to a share of its first attempts, so that retries
 * can't amplify an overload.
 *
 * <p>Not thread safe; confined to the dispatch event loop.
 */
public final class RetryBudget {
    private final double mTokensPerAttempt;
    private final double mMaxTokens;
    private double mTokens;

    private RetryBudget(double tokensPerAttempt, double maxTokens) {
        checkArgument(
                tokensPerAttempt >= 0, "retries per attempt are negative: %s", tokensPerAttempt);
        checkArgument(maxTokens >= 1, "capacity is below one: %s", maxTokens);
        mTokensPerAttempt = tokensPerAttempt;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /**
     * Creates a full budget.
     *
     * @param tokensPerAttempt the number of retries that each first attempt adds to the budget
     * @param maxTokens the capacity of the budget, in retries
     */
    public static RetryBudget create(double tokensPerAttempt, double maxTokens) {
        return new RetryBudget(tokensPerAttempt, maxTokens);
    }

    /** Adds the share of a first attempt to the budget. */
    public void onFirstAttempt() {
        mTokens = Math.min(mMaxTokens, mTokens + mTokensPerAttempt);
    }

    /** Takes one retry from the budget. Returns false if less than one is left. */
    public boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
