package org.ebonyrun.core.call;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.hedge.HedgeScope;
import org.ebonyrun.core.hedge.HedgeVerdict;
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
    final Set<HedgeVerdict> mHedgeVerdicts = EnumSet.noneOf(HedgeVerdict.class);
    // The delay of the latest decision on a hedged attempt; no attempt exceeds it before.
    long mHedgeDelayNanos = Long.MAX_VALUE;
    @Nullable Long mHedgeAttempt;
    @Nullable Long mAnsweredBy;
    boolean mLostAttempt;
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

    /** Returns whether the route and a guard allow another attempt. */
    boolean mayRunAgain(CallGuard guard) {
        return mayRunAgain() && (mPossibleRuns == 0 || guard.mayRetry(mSpec));
    }

    /** Returns whether an endpoint is among those that may get a hedged attempt. */
    boolean isInScope(Endpoint endpoint, HedgeScope scope, long now) {
        // A hedged attempt is not worth a part of an endpoint's limit.
        if (endpoint.isLimited()) {
            return false;
        }
        if (scope == HedgeScope.ANY) {
            return true;
        }
        boolean untried = !mTriedEndpoints.contains(endpoint.id()) && !endpoint.isAvoided(now);
        boolean otherDomain =
                mOpenAttempts.values().stream()
                        .noneMatch(
                                open -> open.record().domain().equals(endpoint.record().domain()));
        return untried && (scope == HedgeScope.UNTRIED || otherDomain);
    }
}
