package org.ebonyrun.core.usage;

import static com.google.common.base.Preconditions.checkState;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.time.Nanos;

/**
 * Decides which windows of usage the holder of the duties fixes, and which reports it sends.
 *
 * <p>Invariants: a report is sent only if {@link #onFixed} or {@link #onRead} has shown that the
 * store has it, so all reports of a window are equal; windows are fixed in order, each once; one
 * report is on its way at a time, the oldest first; a report that got no answer, or was refused, is
 * sent again.
 *
 * <p>The load is one window each few seconds. At most {@link #MAX_UNANSWERED} reports are kept; of
 * more, the oldest are given up.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class UsageLedger {
    /** The maximum number of reports without an answer. */
    public static final int MAX_UNANSWERED = 60;

    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    private static final long MAX_RETRY_NANOS = Nanos.ofMillis(4_000);

    private final UsageTimes mTimes;
    private final TreeMap<Long, SortedMap<WorkspaceName, Long>> mUnanswered = new TreeMap<>();
    private boolean mKnown;
    private long mNextWindow;
    // The window in which what is stored was read; earlier ones may be from before the first call.
    private long mFirstOwnWindow;
    private OptionalLong mOnItsWay = OptionalLong.empty();
    private long mRetryNanos = RETRY_NANOS;
    private boolean mWaiting;
    private long mNextSendAt;
    private long mGivenUp;

    private UsageLedger(UsageTimes times) {
        mTimes = times;
    }

    /** Creates a ledger that does not know yet what the store has. */
    public static UsageLedger create(UsageTimes times) {
        return new UsageLedger(times);
    }

    /** Returns whether it is known what the store has. */
    public boolean isKnown() {
        return mKnown;
    }

    /** Returns the number of reports that were given up since the start. */
    public long givenUp() {
        return mGivenUp;
    }

    /** Returns the number of reports without an answer. */
    public int unansweredCount() {
        return mUnanswered.size();
    }

    /** Forgets what the store has, since another holder may change it, or a write was lost. */
    public void forget() {
        mKnown = false;
        mUnanswered.clear();
    }

    /**
     * Handles what was read from the store.
     *
     * @param stored what holders have fixed; empty if nothing
     */
    public void onRead(Optional<UsageLedgerState> stored, long wallMillis) {
        mKnown = true;
        mUnanswered.clear();
        mNextWindow = mTimes.windowAt(wallMillis);
        mFirstOwnWindow = mNextWindow;
        stored.ifPresent(
                state -> {
                    mNextWindow = state.nextWindow();
                    mUnanswered.putAll(state.unanswered());
                });
    }

    /**
     * Handles that no holder has fixed anything. Calls may have run before there was a holder, so
     * the windows that entries still keep are fixed, too, from the first one with calls on.
     */
    public void onNothingStored(long wallMillis) {
        onRead(Optional.empty(), wallMillis);
        mNextWindow = mTimes.windowAt(wallMillis - UsageCounts.KEPT_MILLIS);
    }

    /** Returns whether the counts of a window have to be fixed. */
    public boolean isFixDue(long wallMillis) {
        return mKnown && mNextWindow <= mTimes.lastFixable(wallMillis);
    }

    /** Returns the first window whose counts are not fixed. */
    public long nextWindow() {
        return mNextWindow;
    }

    /**
     * Returns the state to store, in which every window that is due is fixed.
     *
     * @param counts returns the counts of a window
     */
    public UsageLedgerState fix(
            LongFunction<SortedMap<WorkspaceName, Long>> counts, long wallMillis) {
        checkState(mKnown, "the stored state is not known");
        TreeMap<Long, SortedMap<WorkspaceName, Long>> unanswered = new TreeMap<>(mUnanswered);
        long last = mTimes.lastFixable(wallMillis);
        // The counts of windows before that are gone from the entries.
        long first = Math.max(mNextWindow, last + 1 - MAX_UNANSWERED);
        for (long window = first; window <= last; window++) {
            SortedMap<WorkspaceName, Long> count = counts.apply(window);
            if (window >= mFirstOwnWindow || !unanswered.isEmpty() || !count.isEmpty()) {
                unanswered.put(window, count);
            }
        }
        while (unanswered.size() > MAX_UNANSWERED) {
            unanswered.pollFirstEntry();
        }
        return new UsageLedgerState(Math.max(mNextWindow, last + 1), unanswered);
    }

    /** Handles that the store has accepted a state that {@link #fix} returned. */
    public void onFixed(UsageLedgerState state) {
        // Reports may have been answered while the state was being stored.
        long before = mNextWindow;
        mGivenUp +=
                mUnanswered.keySet().stream()
                        .filter(w -> !state.unanswered().containsKey(w))
                        .count();
        mUnanswered.keySet().retainAll(state.unanswered().keySet());
        state.unanswered().tailMap(before).forEach(mUnanswered::put);
        mNextWindow = state.nextWindow();
    }

    /** Takes the report to send now; empty if none is due. */
    public Optional<Map.Entry<Long, SortedMap<WorkspaceName, Long>>> takeDue(long now) {
        boolean waiting = mWaiting && now - mNextSendAt < 0;
        if (!mKnown || mOnItsWay.isPresent() || waiting || mUnanswered.isEmpty()) {
            return Optional.empty();
        }
        mOnItsWay = OptionalLong.of(mUnanswered.firstKey());
        return Optional.of(Map.entry(mUnanswered.firstKey(), mUnanswered.firstEntry().getValue()));
    }

    /** Handles the reply to a report. */
    public void onReply(long window, boolean done, long now) {
        mOnItsWay = OptionalLong.empty();
        mWaiting = !done;
        if (done) {
            mUnanswered.remove(window);
            mRetryNanos = RETRY_NANOS;
        } else {
            mNextSendAt = now + mRetryNanos;
            mRetryNanos = Math.min(MAX_RETRY_NANOS, 2 * mRetryNanos);
        }
    }
}
