package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.ebonyrun.base.eventloop.EventLoopCallbacks;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;

/**
 * Watches the keys of one prefix: reads a snapshot, then waits for changes with long polls; reads a
 * new snapshot when the store no longer has the history of changes.
 *
 * <p>The store responds to a poll after at most the wait of the {@link Timing}, so a connection
 * that went silent is detected within that time and a short slack. After a fault the watch makes no
 * calls until {@link #onStoreAvailable}.
 *
 * <p>Not thread safe; every callback and method runs on the event loop behind {@code executor}.
 */
final class StoreWatch {
    // The wait of the first poll after a fault. It is short because a store that has lost its
    // history may report this only at the end of the wait.
    private static final long WAIT_AFTER_FAULT_MILLIS = 200;
    // The least time between a failed or abandoned call and the next one.
    private static final long RETRY_NANOS = Nanos.ofMillis(250);
    // Bounds a snapshot to this many pages of 500 items.
    private static final int MAX_PAGES = 1_000;

    /**
     * How long a watch waits for changes and batches them.
     *
     * @param waitMillis how long a poll waits for a change, in milliseconds
     * @param batchNanos how long to wait after a change before the next poll, so that one poll
     *     returns all changes of that time, in nanoseconds
     * @param mayBeStale whether changes may arrive seconds late
     */
    record Timing(long waitMillis, long batchNanos, boolean mayBeStale) {}

    /** Receives snapshots, changes and the outcome of calls. */
    interface Listener {
        /** Called with all keys of the prefix: first, and whenever changes may have been missed. */
        void onSnapshot(List<StoreItem> items);

        /** Called for each change. */
        void onChange(StoreChange change);

        /** Called when a call has succeeded, before the snapshot or changes that it returned. */
        void onResponse();

        /** Called when a call failed. */
        void onFault(Fault fault);
    }

    private final SharedStore mStore;
    private final String mPrefix;
    private final Supplier<Timing> mTiming;
    private final Executor mExecutor;
    private final Listener mListener;
    // Whether a snapshot has been read.
    private boolean mSynced;
    // Whether a call is in flight.
    private boolean mInFlight;
    // Whether the call in flight is a poll whose changes may be stale.
    private boolean mStalePoll;
    // Whether the last call failed.
    private boolean mFailed;
    // Whether the next poll has the short wait after a fault.
    private boolean mShortWait;
    private long mCalledAt;
    // The number of the last call; responses to earlier calls are ignored.
    private int mCallNumber;
    // Whether changes are being batched.
    private boolean mBatching;
    private long mBatchStart;
    private boolean mResuming;
    private long mResumeAt;
    private long mRespondedAt;
    // The store revision after which changes are missing; zero before the first snapshot.
    private long mRevision;

    /**
     * Creates a watch; {@link #start} begins it.
     *
     * @param timing supplies the timing to use at present
     */
    StoreWatch(
            SharedStore store,
            String prefix,
            Supplier<Timing> timing,
            Executor executor,
            Listener listener) {
        mStore = store;
        mPrefix = prefix;
        mTiming = timing;
        mExecutor = executor;
        mListener = listener;
        mRespondedAt = System.nanoTime();
    }

    /** Begins to watch. */
    void start() {
        readSnapshot("", new ArrayList<>(), 0);
    }

    /** Returns the time since the store last confirmed what was read, in nanoseconds. */
    long silenceNanos(long now) {
        return now - mRespondedAt;
    }

    /** Returns whether a snapshot has been read. */
    boolean isSynced() {
        return mSynced;
    }

    /** Makes the next call if one is due after batching or after an outage. */
    void onTick(long now) {
        if (mBatching && now - mBatchStart >= mTiming.get().batchNanos()) {
            mBatching = false;
            poll();
        } else if (mInFlight && mStalePoll && !mTiming.get().mayBeStale()) {
            // The response to the poll in flight would come too late.
            poll();
        } else if (mResuming && now - mResumeAt >= 0) {
            mResuming = false;
            if (mRevision == 0) {
                start();
            } else {
                poll();
            }
        }
    }

    /**
     * Resumes the watch after an outage of the store. A call in flight is abandoned, since its
     * response may have been lost during the outage.
     */
    void onStoreAvailable() {
        if (mFailed || mInFlight) {
            mFailed = false;
            mShortWait = true;
            mInFlight = false;
            mCallNumber++;
            mResuming = true;
            mResumeAt = mCalledAt + RETRY_NANOS;
        }
    }

    private void readSnapshot(String after, List<StoreItem> items, long revision) {
        int call = beginCall();
        mStore.range(mPrefix, after)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(
                                mExecutor, result -> onPage(call, result, items, revision)),
                        mExecutor);
    }

    /** Records that a call is made; returns its number. */
    private int beginCall() {
        mInFlight = true;
        mStalePoll = false;
        mCalledAt = System.nanoTime();
        return ++mCallNumber;
    }

    private void onPage(int call, Result<StorePage> result, List<StoreItem> items, long revision) {
        if (call != mCallNumber) {
            return;
        }
        mInFlight = false;
        result.fold(
                page -> {
                    mListener.onResponse();
                    mRespondedAt = System.nanoTime();
                    items.addAll(page.items());
                    // The first page's revision covers every change after it.
                    long first = revision == 0 ? page.revision() : revision;
                    boolean more = page.truncated() && !page.items().isEmpty();
                    if (more && items.size() < MAX_PAGES * 500) {
                        readSnapshot(items.get(items.size() - 1).key(), items, first);
                    } else {
                        mRevision = first;
                        mSynced = true;
                        mListener.onSnapshot(items);
                        poll();
                    }
                    return page;
                },
                this::onFault);
    }

    private void poll() {
        int call = beginCall();
        Timing timing = mTiming.get();
        long wait = mShortWait ? WAIT_AFTER_FAULT_MILLIS : timing.waitMillis();
        mStalePoll = timing.mayBeStale() && !mShortWait;
        mShortWait = false;
        mStore.watch(mPrefix, mRevision, wait, mStalePoll)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(mExecutor, result -> onChanges(call, result)),
                        mExecutor);
    }

    private void onChanges(int call, Result<StoreChanges> result) {
        if (call != mCallNumber) {
            return;
        }
        mInFlight = false;
        result.fold(
                changes -> {
                    if (!mStalePoll) {
                        // A stale read may be answered while the store is unavailable.
                        mListener.onResponse();
                        mRespondedAt = System.nanoTime();
                    }
                    if (changes.historyCompacted()) {
                        mRevision = 0;
                        start();
                    } else {
                        changes.changes().forEach(mListener::onChange);
                        mRevision = Math.max(mRevision, changes.revision());
                        if (changes.changes().isEmpty()) {
                            poll();
                        } else {
                            mBatching = true;
                            mBatchStart = System.nanoTime();
                        }
                    }
                    return changes;
                },
                this::onFault);
    }

    private <T> T onFault(Fault fault) {
        mFailed = true;
        mListener.onFault(fault);
        return null;
    }
}
