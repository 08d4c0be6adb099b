package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.usage.UsageCounter;
import org.ebonyrun.core.usage.UsageCounts;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.Transaction;

/**
 * Stores what this entry has counted of the usage of each window, for the holder of the duties.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class UsageRecorder {
    // Spreads the writes of many entries at the end of a window.
    private static final int SPREAD_MILLIS = 500;

    private final HostedContext mContext;
    private final SharedStore mSharedStore;
    private final UsageCounts mCounts;
    private final String mKey;

    /**
     * Creates a recorder.
     *
     * @param windowMillis the length of a window
     */
    UsageRecorder(HostedContext context, SharedStore sharedStore, long windowMillis) {
        mContext = context;
        mSharedStore = sharedStore;
        mKey = StoreKeys.usageCountsKey(context.self());
        mCounts = UsageCounts.create(windowMillis, Math.floorMod(mKey.hashCode(), SPREAD_MILLIS));
    }

    /** Returns the counter to be told of calls. */
    UsageCounter counter() {
        return mCounts;
    }

    void onTick(long wallMillis) {
        boolean available = !mContext.storeHealth().isUnavailable();
        if (available && mCounts.takeDue(wallMillis, false)) {
            store();
        }
    }

    /** Stores all counts, since the entry is about to end. */
    void flush(long wallMillis) {
        if (mCounts.takeDue(wallMillis, true)) {
            store();
        }
    }

    private void store() {
        byte[] value = UsageCodec.encode(mCounts.counts());
        mSharedStore
                .commit(Transaction.builder().write(mKey, value).build())
                .thenAcceptAsync(mContext.callback(this::onStored), mContext.executor());
    }

    private void onStored(Result<CommitResult> result) {
        boolean stored = result.fold(CommitResult::isCommitted, fault -> false);
        if (!stored) {
            String why = result.fold(commit -> commit.outcome().name(), fault -> fault.detail());
            mContext.log().write(LogLine.of("usage.unstored").with("why", why));
        }
        mCounts.onStored(stored, System.currentTimeMillis());
    }
}
