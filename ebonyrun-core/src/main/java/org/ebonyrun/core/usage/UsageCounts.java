package org.ebonyrun.core.usage;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import org.ebonyrun.base.id.WorkspaceName;

/**
 * Counts the calls that one entry has sent to endpoints, and decides when the counts are stored for
 * the reporter.
 *
 * <p>Invariants: a call counts once, in the window of its first attempt that was not rejected as
 * not run; the counts of a window are stored after its end, and again when a later rejection
 * changes them; windows are kept until they are both stored and, at least, {@link #KEPT_WINDOWS}
 * and {@link #KEPT_MILLIS} old, and not longer than {@link #MAX_WINDOWS}.
 *
 * <p>The load is two events a call and one write a window in which calls were sent. Memory: one
 * record for each open call, and one number for each workspace and kept window.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class UsageCounts implements UsageCounter {
    /** How many windows are stored together, so that a reporter may come late or miss a write. */
    public static final int KEPT_WINDOWS = 6;

    /** For how long windows are stored at least, within {@link #MAX_WINDOWS}. */
    public static final long KEPT_MILLIS = 15_000;

    /** How many windows are kept at most. */
    public static final int MAX_WINDOWS = 60;

    // Endpoints reject what they don't run within milliseconds.
    private static final long SETTLE_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 500;
    private static final long MAX_RETRY_MILLIS = 2_000;

    /** An open call: the windows of its attempts that may have run, in the order of sending. */
    private static final class OpenCall {
        final WorkspaceName mWorkspace;
        final Map<Long, Long> mWindows = new LinkedHashMap<>();

        OpenCall(WorkspaceName workspace) {
            mWorkspace = workspace;
        }
    }

    private final long mWindowMillis;
    private final long mSpreadMillis;
    private final long mKeptWindows;
    private final Map<Long, OpenCall> mOpenCalls = new HashMap<>();
    private final WindowCounts mCounts = WindowCounts.create();
    // The windows whose counts have changed since they were stored last.
    private final TreeSet<Long> mUnstored = new TreeSet<>();
    private TreeSet<Long> mStoring = new TreeSet<>();
    private boolean mPending;
    private long mNextTryAt = Long.MIN_VALUE;
    private long mRetryMillis = RETRY_MILLIS;

    private UsageCounts(long windowMillis, long spreadMillis) {
        mWindowMillis = windowMillis;
        mSpreadMillis = spreadMillis;
        mKeptWindows = Math.max(KEPT_WINDOWS, (KEPT_MILLIS + windowMillis - 1) / windowMillis);
    }

    /**
     * Creates counts without any calls.
     *
     * @param windowMillis the length of a window
     * @param spreadMillis by how much this entry stores its counts later than the first ones do
     */
    public static UsageCounts create(long windowMillis, long spreadMillis) {
        checkArgument(windowMillis > 0, "window is not positive: %s", windowMillis);
        checkArgument(spreadMillis >= 0, "spread is negative: %s", spreadMillis);
        return new UsageCounts(windowMillis, spreadMillis);
    }

    /** Returns the counts; the windows that are stored together are all of it. */
    public WindowCounts counts() {
        return mCounts;
    }

    /** Returns the number of calls that have been sent and have not ended. */
    public int openCallCount() {
        return mOpenCalls.size();
    }

    @Override
    public void onSent(long call, WorkspaceName workspace, long attempt, long wallMillis) {
        long window = Math.floorDiv(wallMillis, mWindowMillis);
        prune(wallMillis);
        OpenCall open = mOpenCalls.computeIfAbsent(call, id -> new OpenCall(workspace));
        if (open.mWindows.isEmpty()) {
            add(window, workspace, 1);
        }
        open.mWindows.put(attempt, window);
    }

    @Override
    public void onNotRun(long call, long attempt) {
        OpenCall open = mOpenCalls.get(call);
        if (open == null || !open.mWindows.containsKey(attempt)) {
            return;
        }
        long before = open.mWindows.values().iterator().next();
        open.mWindows.remove(attempt);
        if (open.mWindows.isEmpty()) {
            add(before, open.mWorkspace, -1);
            return;
        }
        long after = open.mWindows.values().iterator().next();
        if (before != after) {
            add(before, open.mWorkspace, -1);
            add(after, open.mWorkspace, 1);
        }
    }

    @Override
    public void onCallEnd(long call) {
        mOpenCalls.remove(call);
    }

    private void add(long window, WorkspaceName workspace, long calls) {
        if (calls < 0 && !mCounts.of(window).containsKey(workspace)) {
            // The window is too old and has been removed.
            return;
        }
        mCounts.add(window, workspace, calls);
        mUnstored.add(window);
    }

    /**
     * Returns whether the counts have to be stored now. The caller then stores them and passes the
     * outcome to {@link #onStored}.
     *
     * @param stopping whether the entry ends, so that the open window is stored, too
     */
    public boolean takeDue(long wallMillis, boolean stopping) {
        long current = Math.floorDiv(wallMillis - SETTLE_MILLIS - mSpreadMillis, mWindowMillis);
        boolean ended = !mUnstored.isEmpty() && (stopping || mUnstored.first() < current);
        if (!ended || mPending || (wallMillis < mNextTryAt && !stopping)) {
            return false;
        }
        prune(wallMillis);
        mStoring = new TreeSet<>(mUnstored);
        if (mStoring.isEmpty()) {
            return false;
        }
        mPending = true;
        mUnstored.clear();
        return true;
    }

    /** Removes windows that are no longer kept, also while the store is away. */
    private void prune(long wallMillis) {
        long first = firstKept(wallMillis);
        mCounts.removeBefore(first);
        mUnstored.headSet(first).clear();
    }

    private long firstKept(long wallMillis) {
        long current = Math.floorDiv(wallMillis, mWindowMillis);
        long unstored = mUnstored.isEmpty() ? current : mUnstored.first();
        return Math.max(current - MAX_WINDOWS, Math.min(unstored, current - mKeptWindows));
    }

    /** Handles the outcome of storing the counts. */
    public void onStored(boolean stored, long wallMillis) {
        mPending = false;
        if (stored) {
            mRetryMillis = RETRY_MILLIS;
        } else {
            mUnstored.addAll(mStoring);
            mNextTryAt = wallMillis + mRetryMillis;
            mRetryMillis = Math.min(MAX_RETRY_MILLIS, 2 * mRetryMillis);
        }
        mStoring.clear();
    }
}
