package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import org.ebonyrun.base.eventloop.EventLoopCallbacks;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreLease;

/**
 * The single lease of an entry, to which all of its ownership keys in the shared store are
 * attached.
 *
 * <p>Invariant: {@link #isValid} measures from the moment at which the request that granted or
 * renewed the lease was sent, so the entry never treats the lease as valid for longer than the
 * store does. The lease is acquired when the entry is about to own something, and kept for a while
 * after it owns nothing.
 *
 * <p>Not thread safe; every callback and method runs on the event loop behind {@code executor}.
 */
final class EntryLease {
    /** Time to live of the lease, in milliseconds. */
    static final long TTL_MILLIS = 2_500;

    // Leaves time, before the lease expires, for three renewals that get no response and one that
    // does.
    private static final long RENEW_NANOS = Nanos.ofMillis(800);
    private static final long RETRY_NANOS = Nanos.ofMillis(50);
    // How long an unused lease is kept for the next step. Granting a new lease costs one call to
    // the store and delays the acceptance of the step by a round trip; a renewal only costs one
    // call.
    private static final long IDLE_RETENTION_NANOS = Nanos.ofMillis(2_000);
    private static final int MAX_GRANT_ATTEMPTS = 3;

    private final SharedStore mStore;
    private final Executor mExecutor;
    private final EventLog mLog;
    private final Runnable mOnLost;
    private final List<LongConsumer> mWaiters = new ArrayList<>();
    private long mId;
    private long mExpiresAt;
    private long mConfirmedAt;
    private long mNextRenewAt;
    private boolean mCallPending;
    private long mLastNeededAt;
    private int mGrantAttempts;

    EntryLease(SharedStore store, Executor executor, EventLog log, Runnable onLost) {
        mStore = store;
        mExecutor = executor;
        mLog = log;
        mOnLost = onLost;
    }

    /** Returns the ID of the lease; zero if there is none. */
    long id() {
        return mId;
    }

    /** Returns whether the lease certainly still exists in the store. */
    boolean isValid(long now) {
        return mId != 0 && now - mExpiresAt < 0;
    }

    /** Returns when the last request was sent that granted or renewed the lease. */
    long confirmedAt() {
        return mConfirmedAt;
    }

    /** Renews the lease as soon as no other call is pending, if it is needed. */
    void confirmSoon(long now) {
        if (mNextRenewAt - now > RETRY_NANOS) {
            mNextRenewAt = now;
        }
    }

    /** Passes the ID of a valid lease to {@code callback}, or zero if the store grants none. */
    void acquire(LongConsumer callback, long now) {
        if (isValid(now)) {
            callback.accept(mId);
            return;
        }
        mWaiters.add(callback);
        mLastNeededAt = now;
        if (!mCallPending) {
            mGrantAttempts = 0;
            grant(now);
        }
    }

    /** Renews the lease in time while it is {@code needed}, and for a while after. */
    void onTick(boolean needed, long now) {
        if (needed) {
            mLastNeededAt = now;
        }
        if (mId == 0 || mCallPending || now - mNextRenewAt < 0) {
            return;
        }
        if (now - mLastNeededAt > IDLE_RETENTION_NANOS) {
            if (now - mExpiresAt >= 0) {
                mId = 0;
            }
            return;
        }
        mCallPending = true;
        long id = mId;
        mStore.renew(id)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(
                                mExecutor, result -> onRenewed(id, result, now)),
                        mExecutor);
    }

    /** Ends the lease in the store, which removes all keys attached to it. */
    void release() {
        if (mId != 0) {
            mStore.revoke(mId);
            mId = 0;
        }
    }

    private void grant(long now) {
        mCallPending = true;
        mStore.grant(TTL_MILLIS)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(mExecutor, result -> onGranted(result, now)),
                        mExecutor);
    }

    private void onGranted(Result<StoreLease> result, long sentAt) {
        mCallPending = false;
        if (!result.isOk() && ++mGrantAttempts < MAX_GRANT_ATTEMPTS) {
            grant(System.nanoTime());
            return;
        }
        result.fold(
                lease -> {
                    loseReplaced();
                    mId = lease.id();
                    mConfirmedAt = sentAt;
                    mExpiresAt = sentAt + Nanos.ofMillis(lease.ttlMillis());
                    mNextRenewAt = sentAt + RENEW_NANOS;
                    mLog.write(LogLine.of("lease.granted").with("lease", mId));
                    return lease;
                },
                fault -> {
                    mLog.write(LogLine.of("lease.refused").with("fault", fault.detail()));
                    return null;
                });
        passToWaiters(result.isOk() ? mId : 0);
    }

    /** Reports the loss of a lease that expired here, whose keys may still be in the store. */
    private void loseReplaced() {
        if (mId == 0) {
            return;
        }
        mLog.write(LogLine.of("lease.replaced").with("lease", mId));
        mId = 0;
        // Who acquires a lease now waits for the one that was granted.
        mCallPending = true;
        mOnLost.run();
        mCallPending = false;
    }

    private void onRenewed(long id, Result<Boolean> result, long sentAt) {
        mCallPending = false;
        if (id == mId) {
            applyRenewal(id, result, sentAt);
        }
        serveWaiters(System.nanoTime());
    }

    /** Serves those who have asked for a lease during a renewal. */
    private void serveWaiters(long now) {
        if (mWaiters.isEmpty() || mCallPending) {
            return;
        }
        if (isValid(now)) {
            passToWaiters(mId);
        } else {
            mGrantAttempts = 0;
            grant(now);
        }
    }

    private void passToWaiters(long id) {
        List<LongConsumer> waiters = List.copyOf(mWaiters);
        mWaiters.clear();
        waiters.forEach(waiter -> waiter.accept(id));
    }

    private void applyRenewal(long id, Result<Boolean> result, long sentAt) {
        result.fold(
                alive -> {
                    if (alive) {
                        mConfirmedAt = sentAt;
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
