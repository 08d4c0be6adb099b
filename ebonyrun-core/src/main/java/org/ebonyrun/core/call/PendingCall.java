package org.ebonyrun.core.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.core.fleet.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * The state of one call.
 *
 * <p>Invariant: {@code mMayHaveRun} counts the endpoints on which the call may have run, those of
 * open attempts included; it never exceeds the attempts that the route allows, and for a call that
 * may not be repeated it never exceeds one.
 *
 * <p>Not thread safe; confined to the duty of its machine.
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

    /** Returns whether one more endpoint may run the call. */
    boolean mayRunAgain() {
        if (mPossibleRuns == 0) {
            return true;
        }
        return mSpec.route().isIdempotent() && mPossibleRuns < mSpec.route().call().maxAttempts();
    }
}
