package org.ebonyrun.core.hedge;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * A token bucket that keeps extra runs within a share of answered calls.
 *
 * <p>Invariant: with a constant share, the extra runs since the creation are at most the share of
 * the answered calls, and those of any period at most that of the period plus {@link #MAX_SAVED}.
 * Sums of the first bound hold for many processes together.
 *
 * <p>Not thread safe.
 */
public final class ExtraWorkBudget {
    /** The most extra runs that are saved for later. */
    public static final int MAX_SAVED = 4;

    /** The saved runs that background calls leave to interactive ones. */
    public static final int RESERVE = 2;

    // Whole numbers, so that no rounding adds up over the life of a process.
    private static final long RUN = 1_000_000;

    private long mBalance;

    /** Handles an answered call, which adds a share of a run. */
    public void onAnswered(double share) {
        checkArgument(share >= 0 && share <= 1, "share is not between zero and one: %s", share);
        mBalance = Math.min(MAX_SAVED * RUN, mBalance + (long) (share * RUN));
    }

    /** Returns whether an extra run is within the limit. */
    public boolean hasRun() {
        return mBalance >= RUN;
    }

    /** Returns whether an extra run is within the limit and leaves a reserve for other calls. */
    public boolean hasRunBesidesReserve() {
        return mBalance >= (1 + RESERVE) * RUN;
    }

    /** Takes an extra run. */
    public void spend() {
        checkState(hasRun(), "no extra run is left: %s millionths", mBalance);
        mBalance -= RUN;
    }
}
