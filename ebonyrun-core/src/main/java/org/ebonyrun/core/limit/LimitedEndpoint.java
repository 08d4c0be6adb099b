package org.ebonyrun.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.RequestGate;
import org.ebonyrun.core.fleet.RequestKind;

/**
 * An endpoint that names a limit, and the permits for it that this process holds.
 *
 * <p>Invariants: a request is admitted only by a permit whose last request was sent at least one
 * period ago. Once the lease may have ended, other processes may hold the same permits; then
 * requests are admitted only while the store is unavailable, and half as often, so that both
 * holders together stay below one and a half times the limit.
 *
 * <p>Not thread safe; confined to the event loop of its {@link PermitMachine}.
 */
final class LimitedEndpoint implements RequestGate {
    // How long work leaves the last usable permit to a control request that waits.
    private static final long CONTROL_RESERVE_NANOS = Nanos.ofMillis(200);
    private static final long GRANT_NANOS = Nanos.ofMillis(60);

    /** A permit that this process holds. */
    static final class Held {
        final Permit mPermit;
        final long mHeldSince;
        long mUsableAt;
        long mLastActiveAt;
        // Whether it is about to be released and admits no more requests.
        boolean mClosed;

        Held(Permit permit, long heldSince, long usableAt) {
            mPermit = permit;
            mHeldSince = heldSince;
            mUsableAt = usableAt;
            mLastActiveAt = heldSince;
        }
    }

    private final Endpoint mEndpoint;
    private final PermitOutputs mOutputs;
    private final Runnable mOnDemand;
    private final List<Held> mHeld = new ArrayList<>();
    private PermitTerms mTerms;
    private boolean mWanted;
    private long mWantedAt;
    private boolean mControlWaiting;
    private long mControlWaitingAt;
    private boolean mExhausted;
    private int mClaimants = 1;

    LimitedEndpoint(
            Endpoint endpoint, PermitTerms terms, PermitOutputs outputs, Runnable onDemand) {
        mEndpoint = endpoint;
        mTerms = terms;
        mOutputs = outputs;
        mOnDemand = onDemand;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    PermitTerms terms() {
        return mTerms;
    }

    void setTerms(PermitTerms terms) {
        mTerms = terms;
    }

    List<Held> held() {
        return mHeld;
    }

    /** Returns whether a request has waited for a permit within the last {@code nanos}. */
    boolean isWanted(long nanos, long now) {
        return mWanted && now - mWantedAt < nanos;
    }

    /**
     * Handles what a round found out.
     *
     * @param exhausted whether all permits of the endpoint are held
     * @param claimants the number of processes that hold or want permits of the service
     */
    void onRound(boolean exhausted, int claimants) {
        mExhausted = exhausted;
        mClaimants = Math.max(1, claimants);
    }

    private long usableAt(Held held) {
        return mOutputs.isStoreAvailable() ? held.mUsableAt : held.mUsableAt + mTerms.periodNanos();
    }

    private boolean isUsable(Held held, long now) {
        return !held.mClosed && now - usableAt(held) >= 0;
    }

    private boolean areHeldPermitsValid(long now) {
        return mOutputs.isLeaseValid(now) || !mOutputs.isStoreAvailable();
    }

    private long usableCount(long now) {
        if (!areHeldPermitsValid(now)) {
            return 0;
        }
        return mHeld.stream().filter(held -> isUsable(held, now)).count();
    }

    @Override
    public boolean admits(RequestKind kind, long now) {
        boolean controlWaits = mControlWaiting && now - mControlWaitingAt < CONTROL_RESERVE_NANOS;
        int reserved = kind == RequestKind.WORK && controlWaits ? 1 : 0;
        return usableCount(now) > reserved;
    }

    @Override
    public void onSent(long now) {
        mControlWaiting = false;
        mHeld.stream()
                .filter(held -> isUsable(held, now))
                .min(Comparator.comparingLong(held -> held.mUsableAt - now))
                .ifPresent(
                        held -> {
                            held.mUsableAt = now + mTerms.periodNanos();
                            held.mLastActiveAt = now;
                        });
    }

    @Override
    public void onWaiting(RequestKind kind, long now) {
        mWanted = true;
        mWantedAt = now;
        if (kind == RequestKind.CONTROL) {
            mControlWaiting = true;
            mControlWaitingAt = now;
        }
        mOnDemand.run();
    }

    @Override
    public long expectedWaitNanos(long now) {
        long wait = Long.MAX_VALUE;
        if (areHeldPermitsValid(now)) {
            for (Held held : mHeld) {
                if (!held.mClosed) {
                    wait = Math.min(wait, Math.max(0, usableAt(held) - now));
                }
            }
        }
        if (wait < Long.MAX_VALUE) {
            return wait;
        }
        return mExhausted || !mOutputs.isStoreAvailable() ? Long.MAX_VALUE : GRANT_NANOS;
    }

    @Override
    public double admittedPerSecond() {
        long open = mHeld.stream().filter(held -> !held.mClosed).count();
        return (double) open / mTerms.permits() * mTerms.requestsPerSecond();
    }

    @Override
    public double sharePerSecond() {
        return mTerms.requestsPerSecond() / mClaimants;
    }
}
