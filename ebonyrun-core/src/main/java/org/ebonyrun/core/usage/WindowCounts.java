package org.ebonyrun.core.usage;

import java.util.SortedMap;
import java.util.TreeMap;
import org.ebonyrun.base.id.WorkspaceName;

/**
 * The number of calls of each workspace in each window of time.
 *
 * <p>Invariant: no count is zero.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class WindowCounts {
    private final TreeMap<Long, TreeMap<WorkspaceName, Long>> mCounts = new TreeMap<>();

    private WindowCounts() {}

    /** Creates counts without any calls. */
    public static WindowCounts create() {
        return new WindowCounts();
    }

    /** Adds to a count. */
    public void add(long window, WorkspaceName workspace, long calls) {
        TreeMap<WorkspaceName, Long> counts =
                mCounts.computeIfAbsent(window, number -> new TreeMap<>());
        long sum = counts.getOrDefault(workspace, 0L) + calls;
        if (sum == 0) {
            counts.remove(workspace);
        } else {
            counts.put(workspace, sum);
        }
        if (counts.isEmpty()) {
            mCounts.remove(window);
        }
    }

    /** Returns the windows with calls, in order; the view changes with the counts. */
    public SortedMap<Long, ? extends SortedMap<WorkspaceName, Long>> windows() {
        return mCounts;
    }

    /** Returns the counts of a window; empty if it had no calls. */
    public SortedMap<WorkspaceName, Long> of(long window) {
        return mCounts.getOrDefault(window, new TreeMap<>());
    }

    /** Removes the windows before the given one. */
    public void removeBefore(long window) {
        mCounts.headMap(window).clear();
    }

    /** Returns the last window with calls, or the fallback if there is none. */
    public long lastWindow(long fallback) {
        return mCounts.isEmpty() ? fallback : mCounts.lastKey();
    }
}
