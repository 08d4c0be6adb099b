package org.ebonyrun.core.duty;

import java.util.random.RandomGenerator;
import org.ebonyrun.base.time.Nanos;

/**
 * Decides when a process claims the role of the holder of the duties, and when it may act as one.
 *
 * <p>Invariants: the fence grows with each time the role is held; no call is allowed before calls
 * of an earlier holder can no longer take effect where fences are not checked, nor within the lease
 * time after this process last held the role; no call is allowed after a suspension of the process
 * until its lease has been confirmed.
 *
 * <p>The load is one decision a tick in each entry; at most one claim is open in each.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class DutyRole {
    private static final long CLAIM_DELAY_NANOS = Nanos.ofMillis(40);
    private static final long CLAIM_JITTER_NANOS = Nanos.ofMillis(200);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    // Above the time after which the watch of an idle entry tells that the key is gone.
    private static final long REMOVAL_RETRY_NANOS = Nanos.ofMillis(3_000);
    // The steady clock does not count the time of a suspension, the wall clock does. Ticks and
    // garbage collection move both clocks alike.
    private static final long SUSPENSION_MILLIS = 150;

    private final DutyRules mRules;
    private final RandomGenerator mRandom;
    private final DutyRoleOutputs mOutputs;
    private boolean mHasPredecessor;
    private boolean mSameHolder;
    private boolean mClaiming;
    private boolean mHolding;
    private boolean mDraining;
    private long mNextClaimAt;
    private long mFence;
    // The last revision at which the key was seen to be gone or another process's.
    private long mLastOtherRevision;
    private long mQuietUntil;
    private boolean mWasHolder;
    private long mReleasedAt;
    private long mNextRemovalAt;
    private boolean mTicked;
    private long mTickAt;
    private long mTickWallMillis;
    private boolean mSuspended;
    private long mSuspendedUntil;

    private DutyRole(
            DutyRules rules,
            boolean hasPredecessor,
            RandomGenerator random,
            DutyRoleOutputs outputs) {
        mRules = rules;
        mHasPredecessor = hasPredecessor;
        mRandom = random;
        mOutputs = outputs;
    }

    /**
     * Creates a role that is not held.
     *
     * @param hasPredecessor whether another process may have held the role before
     */
    public static DutyRole create(
            DutyRules rules,
            boolean hasPredecessor,
            RandomGenerator random,
            DutyRoleOutputs outputs) {
        return new DutyRole(rules, hasPredecessor, random, outputs);
    }

    /** Returns whether this process is the holder. */
    public boolean isHolding() {
        return mHolding;
    }

    /** Returns the fence of this process, or the last one that it had; zero if it had none. */
    public long fence() {
        return mFence;
    }

    /** Returns whether a process other than this one has held the role, or may have. */
    public boolean hasPredecessor() {
        return mHasPredecessor;
    }

    /**
     * Handles a change of the role's key that the watch has reported.
     *
     * @param revision the revision of the change; a change before this process's own claim does not
     *     end the role
     * @param holder whom the key names now, for the log
     */
    public void onKeyChanged(RoleKey key, long revision, String holder, long now) {
        if (key == RoleKey.OTHER || key == RoleKey.EARLIER_PROCESS) {
            mHasPredecessor = true;
        }
        if (key != RoleKey.OWN) {
            mLastOtherRevision = Math.max(mLastOtherRevision, revision);
        }
        if (mHolding && key != RoleKey.OWN && revision > mFence) {
            release(false, "the planner's key is " + holder, now);
        }
    }

    /** Claims the role if it is free and a claim is due. */
    public void onTick(RoleKey key, long revision, long now, long wallMillis) {
        noteSuspension(now, wallMillis);
        boolean inherited = key == RoleKey.EARLIER_PROCESS;
        boolean idle = !mHolding && !mClaiming && !mDraining;
        if (idle && key == RoleKey.OWN && isNew(revision)) {
            // The response to the claim was lost.
            acquire(revision, now);
        } else if (idle && (key == RoleKey.ABSENT || inherited)) {
            claimWhenDue(inherited, now);
        } else if (key != RoleKey.ABSENT) {
            mNextClaimAt = 0;
            removeKeyWhenDue(key, revision, now);
        }
    }

    /** Removes the key of a role that this process has released, if that failed before. */
    private void removeKeyWhenDue(RoleKey key, long revision, long now) {
        boolean released = !mHolding && !mClaiming && mWasHolder;
        if (released && key == RoleKey.OWN && revision == mFence && now - mNextRemovalAt >= 0) {
            mNextRemovalAt = now + REMOVAL_RETRY_NANOS;
            mOutputs.removeKey(mFence);
        }
    }

    private void claimWhenDue(boolean inherited, long now) {
        if (mNextClaimAt == 0) {
            long delay = CLAIM_DELAY_NANOS + mRandom.nextLong(CLAIM_JITTER_NANOS);
            mNextClaimAt = inherited ? now : now + delay;
        }
        if (now - mNextClaimAt >= 0) {
            mClaiming = true;
            mSameHolder = inherited;
            mOutputs.claim();
        }
    }

    /**
     * Handles that a claim is being sent, which may be a while after the tick that asked for it.
     *
     * @param sameHolder whether it replaces the key of an earlier process of the VM
     */
    public void onClaimSent(boolean sameHolder) {
        mSameHolder = sameHolder;
    }

    /** Handles a claim that the store has committed. */
    public void onClaimed(long fence, long now) {
        mClaiming = false;
        if (isNew(fence)) {
            acquire(fence, now);
        }
    }

    /** Returns whether a claim was neither held before nor seen to have ended. */
    private boolean isNew(long fence) {
        return fence > mFence && fence > mLastOtherRevision;
    }

    /** Handles a claim that failed or whose outcome is unknown. */
    public void onClaimFailed(long now) {
        mClaiming = false;
        mNextClaimAt = now + RETRY_NANOS;
    }

    private void acquire(long fence, long now) {
        mHolding = true;
        mFence = fence;
        mQuietUntil = now;
        if (mRules.fenced() && mWasHolder) {
            mQuietUntil = Math.max(now, mReleasedAt + mRules.leaseNanos());
        } else if (!mRules.fenced() && mHasPredecessor) {
            mQuietUntil = now + mRules.leaseNanos();
        }
        mOutputs.onAcquired(fence, mSameHolder, mQuietUntil);
        if (mDraining) {
            release(true, "this entry is stopping", now);
        }
    }

    /** Releases the role because the lease has ended. */
    public void onLeaseLost(long now) {
        if (mHolding) {
            release(false, "the lease has ended", now);
        }
    }

    /** Releases the role because the store names another holder. */
    public void onReplaced(long fence, String why, long now) {
        if (mHolding && fence == mFence) {
            release(false, why, now);
        }
    }

    /** Releases the role because a higher fence than the given one has been seen. */
    public void onFenced(long fence, String why, long now) {
        if (mHolding && fence == mFence) {
            release(true, why, now);
        }
    }

    /** Begins a graceful stop: hands the role over, and claims it no more. */
    public void onDrain(long now) {
        mDraining = true;
        if (mHolding) {
            release(true, "this entry is stopping", now);
        }
    }

    private void release(boolean removeKey, String why, long now) {
        mHolding = false;
        mHasPredecessor = true;
        mWasHolder = true;
        mReleasedAt = now;
        mNextRemovalAt = now + REMOVAL_RETRY_NANOS;
        mNextClaimAt = 0;
        mOutputs.onReleased(mFence, removeKey, why);
    }

    private void noteSuspension(long now, long wallMillis) {
        if (isSuspendedSinceTick(now, wallMillis)) {
            mSuspended = true;
            mSuspendedUntil = now;
        }
        mTicked = true;
        mTickAt = now;
        mTickWallMillis = wallMillis;
    }

    private boolean isSuspendedSinceTick(long now, long wallMillis) {
        long gained = wallMillis - mTickWallMillis - Nanos.toMillis(now - mTickAt);
        return mTicked && gained > SUSPENSION_MILLIS;
    }

    /** Returns whether the lease has to be confirmed before a call, because of a suspension. */
    public boolean needsConfirmation(long leaseConfirmedAt) {
        return mSuspended && leaseConfirmedAt - mSuspendedUntil < 0;
    }

    /**
     * Returns whether a call under a fence may be sent now. The lease must be valid, too.
     *
     * @param leaseConfirmedAt when the last successful renewal of the lease was sent
     */
    public boolean mayCall(long fence, long leaseConfirmedAt, long now, long wallMillis) {
        return mHolding
                && fence == mFence
                && now - mQuietUntil >= 0
                && !isSuspendedSinceTick(now, wallMillis)
                && !needsConfirmation(leaseConfirmedAt);
    }
}
