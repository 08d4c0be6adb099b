package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;

/**
 * Follows the keys of one prefix: reads them all, then waits for changes; reads them all again when
 * the store no longer knows what changed.
 *
 * <p>A call is answered after at most the wait of its {@link Timing}, so a connection that fell
 * silent is noticed within that time and a short slack. After a fault the watch rests until it is
 * told that the store is back.
 *
 * <p>Not thread safe; every callback and method runs on the duty behind {@code executor}.
 */
final class StoreWatch {
    // The first wait after a fault: a store that has dropped what changed may say so only when the
    // wait is over.
    private static final long WAIT_AFTER_FAULT_MILLIS = 200;
    // The least time between a call that failed and the next.
    private static final long RETRY_NANOS = Nanos.ofMillis(250);
    private static final int MAX_PAGES = 1_000;

    /**
     * How often a watch calls the store.
     *
     * @param waitMillis how long a call waits for a change, in milliseconds
     * @param gatherNanos how long to wait after a change, so that those that follow come with one
     *     call, in nanoseconds
     */
    record Timing(long waitMillis, long batchNanos) {}

    /** Hears what a watch finds. */
    interface Listener {
        /** All keys of the prefix, after the first read and after a gap. */
        void onSnapshot(List<StoreItem> items);

        /** One change. */
        void onChange(StoreChange change);

        /** The store answered. */
        void onResponse();

        /** The store did not answer as it should. */
        void onFault(Fault fault);
    }

    private final SharedStore mStore;
    private final String mPrefix;
    private final Supplier<Timing> mPace;
    private final Executor mExecutor;
    private final Listener mListener;
    private boolean mSynced;
    private boolean mWaiting;
    private boolean mFaulty;
    private boolean mHurried;
    private long mCalledAt;
    private int mCalls;
    private boolean mGathering;
    private long mChangedAt;
    private boolean mResuming;
    private long mResumeAt;
    private long mRevision;

    /**
     * Creates a watch that does not follow yet.
     *
     * @param pace how often to call the store at present
     */
    StoreWatch(
            SharedStore store,
            String prefix,
            Supplier<Timing> pace,
            Executor executor,
            Listener listener) {
        mStore = store;
        mPrefix = prefix;
        mPace = pace;
        mExecutor = executor;
        mListener = listener;
    }

    /** Begins to follow. */
    void start() {
        read("", new ArrayList<>(), 0);
    }

    /** Returns whether all keys have been read once. */
    boolean isSynced() {
        return mSynced;
    }

    /** Goes on after a change, or after the store's return. */
    void onTick(long now) {
        if (mGathering && now - mChangedAt >= mPace.get().batchNanos()) {
            mGathering = false;
            follow();
        } else if (mResuming && now - mResumeAt >= 0) {
            mResuming = false;
            if (mRevision == 0) {
                start();
            } else {
                follow();
            }
        }
    }

    /**
     * Goes on after the store's return: asks again after a fault, and abandons a call that waits,
     * since its answer may have been lost meanwhile.
     */
    void onStoreAvailable() {
        if (mFaulty || mWaiting) {
            mFaulty = false;
            mHurried = true;
            mWaiting = false;
            mCalls++;
            mResuming = true;
            mResumeAt = mCalledAt + RETRY_NANOS;
        }
    }

    private void read(String after, List<StoreItem> items, long revision) {
        int call = begin();
        mStore.range(mPrefix, after)
                .thenAcceptAsync(result -> onPage(call, result, items, revision), mExecutor);
    }

    /** Notes that a call is made; returns its number. */
    private int begin() {
        mWaiting = true;
        mCalledAt = System.nanoTime();
        return ++mCalls;
    }

    private void onPage(int call, Result<StorePage> result, List<StoreItem> items, long revision) {
        if (call != mCalls) {
            return;
        }
        mWaiting = false;
        result.fold(
                page -> {
                    mListener.onResponse();
                    items.addAll(page.items());
                    // The first page's revision covers every change after it.
                    long first = revision == 0 ? page.revision() : revision;
                    boolean more = page.truncated() && !page.items().isEmpty();
                    if (more && items.size() < MAX_PAGES * 500) {
                        read(items.get(items.size() - 1).key(), items, first);
                    } else {
                        mRevision = first;
                        mSynced = true;
                        mListener.onSnapshot(items);
                        follow();
                    }
                    return page;
                },
                this::onFault);
    }

    private void follow() {
        int call = begin();
        long wait = mHurried ? WAIT_AFTER_FAULT_MILLIS : mPace.get().waitMillis();
        mHurried = false;
        mStore.watch(mPrefix, mRevision, wait)
                .thenAcceptAsync(result -> onChanges(call, result), mExecutor);
    }

    private void onChanges(int call, Result<StoreChanges> result) {
        if (call != mCalls) {
            return;
        }
        mWaiting = false;
        result.fold(
                changes -> {
                    mListener.onResponse();
                    if (changes.historyCompacted()) {
                        mRevision = 0;
                        start();
                    } else {
                        changes.changes().forEach(mListener::onChange);
                        mRevision = Math.max(mRevision, changes.revision());
                        if (changes.changes().isEmpty()) {
                            follow();
                        } else {
                            mGathering = true;
                            mChangedAt = System.nanoTime();
                        }
                    }
                    return changes;
                },
                this::onFault);
    }

    private <T> T onFault(Fault fault) {
        mFaulty = true;
        mListener.onFault(fault);
        return null;
    }
}
