package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreLease;

/**
 * The one lease of an entry, under which stand all keys that say what it owns.
 *
 * <p>Invariant: {@link #isValid} counts from the moment at which the call that granted or renewed
 * the lease was sent, so this entry never counts on it longer than the store does. A lease is taken
 * when something is to be owned, and kept for a while after nothing is.
 *
 * <p>Not thread safe; every callback and method runs on the duty behind {@code executor}.
 */
final class EntryLease {
    /** Time to live of the lease, in milliseconds. */
    static final long TTL_MILLIS = 2_500;

    // Leaves time for three tries that get no answer and one that does.
    private static final long RENEW_NANOS = Nanos.ofMillis(800);
    private static final long RETRY_NANOS = Nanos.ofMillis(50);
    // How long the lease is kept for the next step after nothing is owned any more. A new one
    // costs one call and an exchange before the step is accepted, a renewal costs one call.
    private static final long KEEP_NANOS = Nanos.ofMillis(2_000);
    private static final int GRANT_TRIES = 3;

    private final SharedStore mStore;
    private final Executor mExecutor;
    private final EventLog mLog;
    private final Runnable mOnLost;
    private final List<LongConsumer> mWaiters = new ArrayList<>();
    private long mId;
    private long mExpiresAt;
    private long mNextRenewAt;
    private boolean mCalling;
    private long mNeededAt;
    private int mGrantTries;

    EntryLease(SharedStore store, Executor executor, EventLog log, Runnable onLost) {
        mStore = store;
        mExecutor = executor;
        mLog = log;
        mOnLost = onLost;
    }

    /** Returns the lease's number; zero if there is none. */
    long id() {
        return mId;
    }

    /** Returns whether the store certainly has the lease. */
    boolean isValid(long now) {
        return mId != 0 && now - mExpiresAt < 0;
    }

    /** Gives {@code use} the number of a valid lease, or zero if none can be had. */
    void acquire(LongConsumer use, long now) {
        if (isValid(now)) {
            use.accept(mId);
            return;
        }
        mWaiters.add(use);
        mNeededAt = now;
        if (!mCalling) {
            mGrantTries = 0;
            grant(now);
        }
    }

    /** Renews the lease while {@code needed}. */
    void onTick(boolean needed, long now) {
        if (needed) {
            mNeededAt = now;
        }
        if (mId == 0 || mCalling || now - mNextRenewAt < 0) {
            return;
        }
        if (now - mNeededAt > KEEP_NANOS) {
            if (now - mExpiresAt >= 0) {
                mId = 0;
            }
            return;
        }
        mCalling = true;
        long id = mId;
        mStore.renew(id).thenAcceptAsync(result -> onRenewed(id, result, now), mExecutor);
    }

    /** Ends the lease, which removes all keys under it. */
    void release() {
        if (mId != 0) {
            mStore.revoke(mId);
            mId = 0;
        }
    }

    private void grant(long now) {
        mCalling = true;
        mStore.grant(TTL_MILLIS).thenAcceptAsync(result -> onGranted(result, now), mExecutor);
    }

    private void onGranted(Result<StoreLease> result, long sentAt) {
        mCalling = false;
        if (!result.isOk() && ++mGrantTries < GRANT_TRIES) {
            grant(System.nanoTime());
            return;
        }
        result.fold(
                lease -> {
                    mId = lease.id();
                    mExpiresAt = sentAt + Nanos.ofMillis(lease.ttlMillis());
                    mNextRenewAt = sentAt + RENEW_NANOS;
                    mLog.write(LogLine.of("lease.granted").with("lease", mId));
                    return lease;
                },
                fault -> {
                    mLog.write(LogLine.of("lease.refused").with("fault", fault.detail()));
                    return null;
                });
        List<LongConsumer> waiters = List.copyOf(mWaiters);
        mWaiters.clear();
        long id = result.isOk() ? mId : 0;
        waiters.forEach(waiter -> waiter.accept(id));
    }

    private void onRenewed(long id, Result<Boolean> result, long sentAt) {
        mCalling = false;
        if (id != mId) {
            return;
        }
        result.fold(
                alive -> {
                    if (alive) {
                        mExpiresAt = sentAt + Nanos.ofMillis(TTL_MILLIS);
                        mNextRenewAt = sentAt + RENEW_NANOS;
                    } else {
                        mId = 0;
                        mLog.write(LogLine.of("lease.lost").with("lease", id));
                        mOnLost.run();
                    }
                    return alive;
                },
                fault -> {
                    mNextRenewAt = System.nanoTime() + RETRY_NANOS;
                    return false;
                });
    }
}
