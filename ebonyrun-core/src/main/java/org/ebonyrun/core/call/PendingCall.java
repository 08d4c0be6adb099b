package org.ebonyrun.core.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.core.fleet.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * The state of one unfinished call.
 *
 * <p>Invariant: {@code mPossibleRuns} counts the endpoints on which the call may have run, those of
 * open attempts included; it never exceeds the attempts that the route allows, and for a
 * non-idempotent call it never exceeds one.
 *
 * <p>Not thread safe; confined to the event loop of its {@link CallMachine}.
 */
final class PendingCall {
    final CallSpec mSpec;
    final Map<Long, Endpoint> mOpenAttempts = new HashMap<>();
    final Set<String> mRejectedBy = new HashSet<>();
    final Set<String> mTriedEndpoints = new HashSet<>();
    @Nullable Long mServerErrorAttempt;
    int mPossibleRuns;
    long mRetryAt;
    long mSentAt;
    boolean mStreaming;

    PendingCall(CallSpec spec) {
        mSpec = spec;
        mRetryAt = spec.arrivedAt();
    }

    /** Returns whether another attempt is allowed, given the attempts that may have run. */
    boolean mayRunAgain() {
        if (mPossibleRuns == 0) {
            return true;
        }
        return mSpec.route().isIdempotent() && mPossibleRuns < mSpec.route().call().maxAttempts();
    }
}
