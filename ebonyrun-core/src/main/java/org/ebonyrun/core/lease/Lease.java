package org.ebonyrun.core.lease;

import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * One lease in the key-value service, as one process sees it.
 *
 * <p>Invariants: unless the service is unavailable, {@link #isHeld} is true only until the
 * monotonic time at which the request that acquired or renewed the lease was <em>sent</em> plus the
 * time to live, so a holder never relies on a lease longer than the service does; the fence is the
 * key's revision and grows with each holder.
 *
 * <p>A holder that can't reach the service keeps an expired lease, because no other process can
 * acquire it during an outage either. The service's next response shows whether the holder was
 * replaced.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class Lease {
    /** Time to live of a lease, in milliseconds. */
    public static final long TTL_MILLIS = 6_000;

    private static final long RENEWAL_INTERVAL_NANOS = Nanos.ofMillis(TTL_MILLIS / 3);
    private static final long OTHER_HOLDER_CACHE_NANOS = Nanos.ofMillis(1_000);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);

    private final String mKey;
    private final LeaseHolder mSelf;
    private final LeaseOutputs mOutputs;
    private LeaseState mState = LeaseState.UNKNOWN;
    private @Nullable LeaseHolder mHolder;
    private long mFence;
    private long mExpiresAt;
    private long mRequestedAt;
    private long mNextRequestAt;
    private boolean mOutage;

    private Lease(String key, LeaseHolder self, LeaseOutputs outputs) {
        mKey = key;
        mSelf = self;
        mOutputs = outputs;
    }

    /** Creates a lease whose holder is unknown. */
    public static Lease create(String key, LeaseHolder self, LeaseOutputs outputs) {
        return new Lease(key, self, outputs);
    }

    /** Returns the key in the key-value service. */
    public String key() {
        return mKey;
    }

    /** Returns the state. Expired leases and outdated records of other holders count as unknown. */
    public LeaseState state(long now) {
        boolean outdated = mState == LeaseState.OTHER && now - mExpiresAt >= 0;
        boolean expired = mState == LeaseState.HELD && now - mExpiresAt >= 0 && !mOutage;
        if (outdated || expired) {
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

    /** Returns the last known holder, or null. */
    public @Nullable LeaseHolder holder() {
        return mHolder;
    }

    /**
     * Requests the lease, which the service grants if it is free and otherwise responds with its
     * holder. Does nothing while a request is in progress, or during the delay after a failed one.
     */
    public void acquireIfDue(long now) {
        LeaseState state = state(now);
        if (state == LeaseState.ASKING || now - mNextRequestAt < 0) {
            return;
        }
        mState = LeaseState.ASKING;
        mRequestedAt = now;
        mOutputs.acquire(mKey);
    }

    /** Handles the service's response to a request for the lease. */
    public void onRecord(LeaseRecord current, long now) {
        mOutage = false;
        mHolder = current.holder();
        if (current.holder().isSameProcess(mSelf)) {
            mState = LeaseState.HELD;
            mFence = current.revision();
            mExpiresAt = mRequestedAt + Nanos.ofMillis(TTL_MILLIS);
        } else {
            mState = LeaseState.OTHER;
            mExpiresAt = now + OTHER_HOLDER_CACHE_NANOS;
        }
    }

    /**
     * Handles a request that got no response. A process that held the lease when it last had a
     * response keeps it.
     */
    public void onUnavailable(long now) {
        mNextRequestAt = now + RETRY_NANOS;
        boolean wasHolder = mFence > 0 && mHolder != null && mHolder.isSameProcess(mSelf);
        if (wasHolder) {
            mOutage = true;
            mState = LeaseState.HELD;
        } else {
            mState = LeaseState.UNKNOWN;
        }
    }

    /** Handles a rejected renewal: the lease has expired or has another holder. */
    public void onRenewalRefused(long now) {
        mOutage = false;
        mState = LeaseState.UNKNOWN;
        mHolder = null;
        mNextRequestAt = now;
    }

    /** Discards the cached holder if it is another process, for example if that is unreachable. */
    public void forgetOtherHolder(long now) {
        if (mState == LeaseState.OTHER) {
            mState = LeaseState.UNKNOWN;
            mNextRequestAt = now + RETRY_NANOS;
        }
    }

    /** Renews a held lease if a third of its time to live has passed since the last request. */
    public void renewIfDue(long now) {
        if (state(now) != LeaseState.HELD) {
            return;
        }
        boolean due =
                now - (mRequestedAt + RENEWAL_INTERVAL_NANOS) >= 0 && now - mNextRequestAt >= 0;
        if (due) {
            mRequestedAt = now;
            mOutputs.renew(mKey, mFence);
        }
    }

    /** Handles a renewal that the service granted. */
    public void onRenewed(long now) {
        if (mState == LeaseState.HELD) {
            mOutage = false;
            mExpiresAt = mRequestedAt + Nanos.ofMillis(TTL_MILLIS);
        }
    }
}
