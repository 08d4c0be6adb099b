package org.ebonyrun.core.lease;

import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * One lease in the key-value service, as one process sees it.
 *
 * <p>Invariants: {@link #isHeld} is true only until the monotonic time at which the request that
 * took or extended the lease was <em>sent</em> plus the time to live, so a holder never counts on a
 * lease longer than the service does; the fence is the key's revision and grows with each holder.
 *
 * <p>A holder that can't reach the service keeps a lapsed lease: nobody else can take it either. As
 * soon as the service answers, the holder learns whether it was replaced.
 *
 * <p>Not thread safe; confined to the duty that owns it.
 */
public final class Lease {
    /** Time to live of a lease, in milliseconds. */
    public static final long TTL_MILLIS = 6_000;

    private static final long RENEW_NANOS = Nanos.ofMillis(TTL_MILLIS / 3);
    private static final long OTHER_CACHE_NANOS = Nanos.ofMillis(1_000);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);

    private final String mKey;
    private final LeaseHolder mSelf;
    private final LeaseOutputs mOutputs;
    private LeaseState mState = LeaseState.UNKNOWN;
    private @Nullable LeaseHolder mHolder;
    private long mFence;
    private long mExpiresAt;
    private long mAskedAt;
    private long mNextAsk;
    private boolean mOutage;

    private Lease(String key, LeaseHolder self, LeaseOutputs outputs) {
        mKey = key;
        mSelf = self;
        mOutputs = outputs;
    }

    /** Creates a lease of which nothing is known. */
    public static Lease create(String key, LeaseHolder self, LeaseOutputs outputs) {
        return new Lease(key, self, outputs);
    }

    /** Returns the key in the key-value service. */
    public String key() {
        return mKey;
    }

    /** Returns what is known, after cached knowledge of another holder has aged out. */
    public LeaseState state(long now) {
        boolean aged = mState == LeaseState.OTHER && now - mExpiresAt >= 0;
        boolean lapsed = mState == LeaseState.HELD && now - mExpiresAt >= 0 && !mOutage;
        if (aged || lapsed) {
            mState = LeaseState.UNKNOWN;
        }
        return mState;
    }

    /** Returns whether this process may act as the holder. */
    public boolean isHeld(long now) {
        return state(now) == LeaseState.HELD;
    }

    /** Returns the fence to send with orders; zero if the lease was never held. */
    public long fence() {
        return mFence;
    }

    /** Returns the holder, if known. */
    public @Nullable LeaseHolder holder() {
        return mHolder;
    }

    /** Asks the service who holds the lease, and takes it if it is free. */
    public void acquireIfDue(long now) {
        LeaseState state = state(now);
        if (state == LeaseState.ASKING || now - mNextAsk < 0) {
            return;
        }
        mState = LeaseState.ASKING;
        mAskedAt = now;
        mOutputs.acquire(mKey);
    }

    /** Handles the service's answer to taking or extending the lease. */
    public void onRecord(LeaseRecord reading, long now) {
        mOutage = false;
        mHolder = reading.holder();
        if (reading.holder().isSameProcess(mSelf)) {
            mState = LeaseState.HELD;
            mFence = reading.revision();
            mExpiresAt = mAskedAt + Nanos.ofMillis(TTL_MILLIS);
        } else {
            mState = LeaseState.OTHER;
            mExpiresAt = now + OTHER_CACHE_NANOS;
        }
    }

    /** Handles the loss of the service's answer, or its absence. */
    public void onUnavailable(long now) {
        mNextAsk = now + RETRY_NANOS;
        boolean wasHolder = mFence > 0 && mHolder != null && mHolder.isSameProcess(mSelf);
        if (wasHolder) {
            mOutage = true;
            mState = LeaseState.HELD;
        } else {
            mState = LeaseState.UNKNOWN;
        }
    }

    /** Handles an extension that the service refused: the lease lapsed or has another holder. */
    public void onRenewalRefused(long now) {
        mOutage = false;
        mState = LeaseState.UNKNOWN;
        mHolder = null;
        mNextAsk = now;
    }

    /** Forgets what is cached of another holder, for example because it can't be reached. */
    public void forgetOtherHolder(long now) {
        if (mState == LeaseState.OTHER) {
            mState = LeaseState.UNKNOWN;
            mNextAsk = now + RETRY_NANOS;
        }
    }

    /** Extends a held lease when it is time to. */
    public void renewIfDue(long now) {
        if (state(now) != LeaseState.HELD) {
            return;
        }
        boolean due = now - (mAskedAt + RENEW_NANOS) >= 0 && now - mNextAsk >= 0;
        if (due) {
            mAskedAt = now;
            mOutputs.renew(mKey, mFence);
        }
    }

    /** Handles an extension that the service granted. */
    public void onRenewed(long now) {
        if (mState == LeaseState.HELD) {
            mOutage = false;
            mExpiresAt = mAskedAt + Nanos.ofMillis(TTL_MILLIS);
        }
    }
}
