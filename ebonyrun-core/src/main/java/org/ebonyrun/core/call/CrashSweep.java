package org.ebonyrun.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ebonyrun.base.time.Nanos;

/**
 * Removes crash records from the shared store: those of calls that crashed nothing for long, and
 * the least important ones beyond a maximum.
 *
 * <p>Answers hours in which more calls break than any entry remembers, and entries that are gone
 * before their records expire: a sweep reads the store page by page and relies on nothing that an
 * entry remembers. One entry sweeps at a time; if several do, each removal still names the revision
 * that was read.
 *
 * <p>Invariant: a record that was written after the sweep has read it is not removed.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class CrashSweep {
    /** The most records that the store keeps from one sweep to the next. */
    public static final int MAX_STORED = 4_096;

    /** The most records that are removed at a time. */
    public static final int MAX_REMOVED = 16;

    // The memory of a sweep; what is beyond is left to the next one.
    static final int MAX_READ = 50_000;

    private static final long INTERVAL_NANOS = Nanos.ofMillis(60_000);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);

    /** Performs the I/O of the sweep. */
    public interface Outputs {
        /**
         * Reads a page of the stored records. Ends with {@link CrashSweep#onPage} or {@link
         * CrashSweep#onFailed}.
         *
         * @param last the last call of the page before; empty for the first page
         */
        void readPage(String last);

        /**
         * Removes records that still have their revisions. Ends with {@link CrashSweep#onRemoved}
         * or {@link CrashSweep#onFailed}.
         */
        void remove(List<Stored> records);
    }

    /**
     * A stored record.
     *
     * @param call the call
     * @param revision the revision of the record
     * @param record the record; one without endpoints if it is unreadable
     */
    public record Stored(CallFingerprint call, long revision, CrashRecord record) {}

    // The most important first: calls that crashed more endpoints, then those that came later.
    private static final Comparator<Stored> BY_IMPORTANCE =
            Comparator.<Stored>comparingInt(stored -> -stored.record().endpoints().size())
                    .thenComparingLong(stored -> -stored.record().atMillis());

    private final Outputs mOutputs;
    private final List<Stored> mRead = new ArrayList<>();
    private List<Stored> mRemoving = List.of();
    private boolean mOpen;
    private boolean mReading;
    private boolean mFailed;
    private String mLastRead = "";
    private long mNextAt = Long.MIN_VALUE;
    private long mRetryAt;

    /** Creates a sweep that has not begun. */
    public CrashSweep(Outputs outputs) {
        mOutputs = outputs;
    }

    /** Begins a sweep if one is due, or goes on with one after a failure. */
    public void onTick(long now) {
        if (mOpen && mFailed && now >= mRetryAt) {
            mFailed = false;
            goOn();
        } else if (!mOpen && now >= mNextAt) {
            mNextAt = now + INTERVAL_NANOS;
            mOpen = true;
            mLastRead = "";
            read();
        }
    }

    private void goOn() {
        if (mReading) {
            read();
        } else {
            removeNext();
        }
    }

    private void read() {
        mReading = true;
        mOutputs.readPage(mLastRead);
    }

    /**
     * Handles a page of records.
     *
     * @param truncated whether more records follow
     * @param nowMillis the time, in Unix milliseconds
     */
    public void onPage(List<Stored> page, boolean truncated, long nowMillis) {
        if (!mOpen) {
            return;
        }
        mRead.addAll(page);
        if (truncated && !page.isEmpty() && mRead.size() < MAX_READ) {
            mLastRead = page.get(page.size() - 1).call().value();
            read();
            return;
        }
        mReading = false;
        mRemoving = unneeded(nowMillis);
        mRead.clear();
        removeNext();
    }

    private List<Stored> unneeded(long nowMillis) {
        List<Stored> unneeded = new ArrayList<>();
        List<Stored> kept = new ArrayList<>();
        for (Stored stored : mRead) {
            long age = nowMillis - stored.record().atMillis();
            (age > CrashRecords.RETENTION_MILLIS ? unneeded : kept).add(stored);
        }
        if (kept.size() > MAX_STORED) {
            kept.sort(BY_IMPORTANCE);
            unneeded.addAll(kept.subList(MAX_STORED, kept.size()));
        }
        return unneeded;
    }

    private void removeNext() {
        if (mRemoving.isEmpty()) {
            mOpen = false;
            return;
        }
        int count = Math.min(MAX_REMOVED, mRemoving.size());
        List<Stored> batch = List.copyOf(mRemoving.subList(0, count));
        mRemoving = mRemoving.subList(count, mRemoving.size());
        mOutputs.remove(batch);
    }

    /** Handles the end of a removal, whether or not all records still had their revisions. */
    public void onRemoved() {
        if (mOpen) {
            removeNext();
        }
    }

    /**
     * Handles a read that failed, which is repeated, or a removal that failed, whose records are
     * left to the next sweep.
     */
    public void onFailed(long now) {
        mFailed = true;
        mRetryAt = now + RETRY_NANOS;
    }
}
