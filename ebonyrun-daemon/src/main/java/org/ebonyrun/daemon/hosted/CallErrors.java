package org.ebonyrun.daemon.hosted;

import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.core.call.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The server errors that the open calls got.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class CallErrors {
    private final Map<Long, Long> mLatestAttempts = new HashMap<>();
    private final Map<Long, Integer> mFailures = new HashMap<>();

    /**
     * Handles an attempt that got a server error, whose response may still be delivered.
     *
     * @return the attempt whose response is not needed any more; null if there is none
     */
    @Nullable Long onError(long call, long attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.FAILED) {
            mFailures.merge(call, 1, Integer::sum);
        }
        return mLatestAttempts.put(call, attempt);
    }

    /** Returns how many attempts of a call an endpoint ran and failed. */
    int failures(long call) {
        return mFailures.getOrDefault(call, 0);
    }

    /** Forgets a call; returns its latest attempt that got a server error, null if none did. */
    @Nullable Long remove(long call) {
        mFailures.remove(call);
        return mLatestAttempts.remove(call);
    }
}
