package org.ebonyrun.core.stream;

import java.util.Map;
import org.ebonyrun.base.time.Nanos;

/**
 * Decides when the records of this process's streams are written to the shared store.
 *
 * <p>Designed for the minutes in which two versions serve side by side: all new records go in one
 * write, and the rate of writes falls with the number of entries, so that all of them together take
 * a fixed share of what the store takes. The entries are counted right after the first write: a few
 * soon write often, and a fleet that lost power counts the records from before. The records of a
 * broken stream don't wait.
 *
 * <p>Invariants: one write is open at a time; what a failed one held is written again, at the same
 * rate.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StreamOriginMachine}.
 */
final class RecordWriter {
    private static final double WRITE_SHARE = 0.1;
    private static final long MIN_INTERVAL_NANOS = Nanos.ofMillis(100);
    private static final long RETRY_NANOS = Nanos.ofMillis(250);
    // All entries begin to write within seconds, so that the first counts soon are too low.
    private static final long FIRST_COUNTS_NANOS = Nanos.ofMillis(6_000);
    private static final long FIRST_COUNT_NANOS = Nanos.ofMillis(1_000);
    private static final long UNCOUNTED_INTERVAL_NANOS = Nanos.ofMillis(1_000);
    private static final long COUNT_NANOS = Nanos.ofMillis(10_000);

    private final StreamRecords mRecords;
    private final double mStoreWritesPerSecond;
    private final StreamOriginOutputs mOutputs;
    private boolean mEnabled;
    private boolean mWriting;
    private boolean mCounted;
    private boolean mBroken;
    private long mEndedAt = Long.MIN_VALUE;
    private long mRetryAt = Long.MIN_VALUE;
    private long mCountAt;
    private long mCountedFrom;
    private int mEntries = 1;

    RecordWriter(StreamRecords records, double storeWritesPerSecond, StreamOriginOutputs outputs) {
        mRecords = records;
        mStoreWritesPerSecond = storeWritesPerSecond;
        mOutputs = outputs;
    }

    /** Returns how long an entry waits after a write, if so many entries write. */
    static long intervalNanos(int entries, double storeWritesPerSecond) {
        double seconds = entries / (WRITE_SHARE * storeWritesPerSecond);
        return Math.max(MIN_INTERVAL_NANOS, (long) (seconds * Nanos.PER_SECOND));
    }

    boolean isEnabled() {
        return mEnabled;
    }

    /** Sets whether records are written; the first write has all of them. */
    void setEnabled(boolean enabled, long now) {
        if (enabled && !mEnabled) {
            mRecords.setAllChanged();
            mCountedFrom = now + FIRST_COUNTS_NANOS;
            mCountAt = Long.MAX_VALUE;
            mCounted = false;
        }
        mEnabled = enabled;
    }

    /** Sets how many entries write records. */
    void setEntries(int entries) {
        mEntries = Math.max(1, entries);
        mCounted = true;
    }

    /** Counts the entries after the first write, and then from time to time. */
    void countIfDue(long now) {
        if (mEnabled && now >= mCountAt && mOutputs.isStoreAvailable()) {
            mCountAt = now + (now < mCountedFrom ? FIRST_COUNT_NANOS : COUNT_NANOS);
            mOutputs.countEntries();
        }
    }

    /** Handles a broken stream. */
    void onBroken(long now) {
        mBroken = true;
        writeIfDue(now);
    }

    private boolean isDue(long now) {
        if (now < mRetryAt) {
            return false;
        }
        long interval = intervalNanos(mEntries, mStoreWritesPerSecond);
        long waits = mCounted ? interval : Math.max(interval, UNCOUNTED_INTERVAL_NANOS);
        return mBroken || mEndedAt == Long.MIN_VALUE || now - mEndedAt >= waits;
    }

    void writeIfDue(long now) {
        if (!mEnabled
                || mWriting
                || !isDue(now)
                || !mRecords.isChanged()
                || !mOutputs.isStoreAvailable()) {
            return;
        }
        mRecords.removeExpired(now);
        Map<Integer, Map<StreamId, StreamOrigin>> buckets = mRecords.takeChanged();
        mWriting = true;
        mBroken = false;
        mOutputs.writeRecords(buckets);
    }

    void onWritten(long now) {
        mWriting = false;
        mEndedAt = now;
        if (mCountAt == Long.MAX_VALUE) {
            mCountAt = now;
            countIfDue(now);
        }
        writeIfDue(now);
    }

    void onFailed(long now) {
        mWriting = false;
        mEndedAt = now;
        mRetryAt = now + RETRY_NANOS;
        mRecords.setAllChanged();
    }

    /** Handles the loss of what was written. */
    void onLost() {
        mRecords.setAllChanged();
    }
}
