package org.ebonyrun.core.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * The state of one unfinished call.
 *
 * <p>Invariant: {@code mPossibleRuns} counts the endpoints on which the call may have run, those of
 * open attempts included; it never exceeds the attempts that the route allows, and for a
 * non-idempotent call it never exceeds one; {@code mOrigin} is the only origin at which the call
 * may run, or null while no endpoint has begun its stream.
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
    // Whether the caller's key is withdrawn, so that no other endpoint may start the call.
    boolean mKeyWithdrawn;
    // Whether the caller has a part of the stream, with which another endpoint has to go on.
    boolean mGoingOn;
    // When the caller is better off to come again, if no endpoint has taken the stream by then.
    long mGoOnBy;
    @Nullable StreamOrigin mOrigin;

    PendingCall(CallSpec spec) {
        mSpec = spec;
        mOrigin = spec.origin();
        mRetryAt = spec.arrivedAt();
    }

    /** Returns whether another attempt is allowed, given the attempts that may have run. */
    boolean mayRunAgain() {
        if (mKeyWithdrawn) {
            return false;
        }
        if (mPossibleRuns == 0) {
            return true;
        }
        return mSpec.route().mayRepeat() && mPossibleRuns < mSpec.route().call().maxAttempts();
    }
}
