package org.ebonyrun.daemon.hosted;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.core.step.StepId;

/**
 * The windows of results of the steps that were read or listed lately.
 *
 * <p>Invariant: after each call of {@link #trim} all windows together take at most a number of
 * bytes, those that were evicted nothing.
 *
 * <p>Not thread safe; confined to one event loop.
 */
final class ResultCache {
    private static final int MAX_STEPS = 24;

    private final long mMaxBytes;
    private final Map<StepId, ResultWindow> mWindows = new LinkedHashMap<>(16, 0.75f, true);

    ResultCache(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the window of a step, which is used now. */
    ResultWindow window(StepId step) {
        return mWindows.computeIfAbsent(step, ignored -> new ResultWindow());
    }

    /** Returns the memory that all windows take, in bytes. */
    long bytes() {
        return mWindows.values().stream().mapToLong(ResultWindow::bytes).sum();
    }

    /** Drops results of the windows that were used least recently until the others fit. */
    void trim() {
        while (mWindows.size() > MAX_STEPS) {
            Map.Entry<StepId, ResultWindow> eldest = mWindows.entrySet().iterator().next();
            mWindows.remove(eldest.getKey());
            eldest.getValue().dropBefore(Integer.MAX_VALUE);
        }
        long excess = bytes() - mMaxBytes;
        for (ResultWindow window : List.copyOf(mWindows.values())) {
            if (excess <= 0) {
                return;
            }
            excess -= drop(window, excess);
        }
    }

    /** Drops the earliest results of a window; returns the memory that they took. */
    private static long drop(ResultWindow window, long bytes) {
        long before = window.bytes();
        while (window.bytes() > 0 && before - window.bytes() < bytes) {
            int half = Math.max(1, window.size() / 2);
            window.dropBefore(window.end() - window.size() + half);
        }
        return before - window.bytes();
    }
}
