package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
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
 * <p>A call is answered after at most the wait of its {@link Pace}, so a connection that fell
 * silent is noticed within that time and a short slack.
 *
 * <p>Not thread safe; every callback and method runs on the duty behind {@code executor}.
 */
final class StoreWatch {
    // A short wait after a fault, so that the store's return is noticed soon.
    private static final long WAIT_AFTER_FAULT_MILLIS = 200;
    private static final long RETRY_NANOS = Nanos.ofMillis(250);
    private static final int MAX_PAGES = 1_000;

    /**
     * How often a watch calls the store.
     *
     * @param waitMillis how long a call waits for a change, in milliseconds
     * @param gatherNanos how long to wait after a change, so that those that follow come with one
     *     call, in nanoseconds
     */
    record Pace(long waitMillis, long gatherNanos) {}

    /** Hears what a watch finds. */
    interface Listener {
        /** All keys of the prefix, after the first read and after a gap. */
        void onSnapshot(List<StoreItem> items);

        /** One change. */
        void onChange(StoreChange change);

        /** The store answered. */
        void onAnswer();

        /** The store did not answer as it should. */
        void onFault(Fault fault);
    }

    private final SharedStore mStore;
    private final String mPrefix;
    private final Pace mPace;
    private final Executor mExecutor;
    private final Listener mListener;
    private boolean mSynced;
    private boolean mWaiting;
    private boolean mStopped;
    private boolean mFaulty;
    private long mResumeAt;
    private boolean mResuming;
    private long mRevision;

    StoreWatch(SharedStore store, String prefix, Pace pace, Executor executor, Listener listener) {
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

    /** Stops following after the open call. */
    void stop() {
        mStopped = true;
    }

    /** Returns whether all keys have been read once. */
    boolean isSynced() {
        return mSynced;
    }

    /** Goes on after a fault or a change. */
    void onTick(long now) {
        if (mResuming && !mWaiting && now - mResumeAt >= 0) {
            mResuming = false;
            if (mRevision == 0) {
                start();
            } else {
                follow();
            }
        }
    }

    private void read(String after, List<StoreItem> items, long revision) {
        mWaiting = true;
        mStore.range(mPrefix, after)
                .thenAcceptAsync(result -> onPage(result, items, revision), mExecutor);
    }

    private void onPage(Result<StorePage> result, List<StoreItem> items, long revision) {
        mWaiting = false;
        result.fold(
                page -> {
                    mFaulty = false;
                    mListener.onAnswer();
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
        if (mStopped) {
            return;
        }
        mWaiting = true;
        long wait = mFaulty ? WAIT_AFTER_FAULT_MILLIS : mPace.waitMillis();
        mStore.watch(mPrefix, mRevision, wait).thenAcceptAsync(this::onChanges, mExecutor);
    }

    private void onChanges(Result<StoreChanges> result) {
        mWaiting = false;
        result.fold(
                changes -> {
                    mFaulty = false;
                    mListener.onAnswer();
                    if (changes.historyGone()) {
                        mRevision = 0;
                        start();
                    } else {
                        changes.changes().forEach(mListener::onChange);
                        mRevision = Math.max(mRevision, changes.revision());
                        if (changes.changes().isEmpty() || mPace.gatherNanos() == 0) {
                            follow();
                        } else {
                            resumeAfter(mPace.gatherNanos());
                        }
                    }
                    return changes;
                },
                this::onFault);
    }

    private <T> T onFault(Fault fault) {
        mListener.onFault(fault);
        mFaulty = true;
        resumeAfter(RETRY_NANOS);
        return null;
    }

    private void resumeAfter(long nanos) {
        mResuming = true;
        mResumeAt = System.nanoTime() + nanos;
    }
}
