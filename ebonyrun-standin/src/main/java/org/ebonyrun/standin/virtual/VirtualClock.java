package org.ebonyrun.standin.virtual;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock with a queue of scheduled tasks. Tasks with the same due time run in the order in
 * which they were scheduled, so that a run is a function of its seed.
 *
 * <p>Not thread safe; one thread runs a whole deployment.
 */
public final class VirtualClock {
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private long mNow;
    private long mNextSequence;

    /** A task, its due time in nanoseconds, and its number in scheduling order. */
    private record Task(long at, long sequence, Runnable action) {}

    /** Creates a clock whose time is one second. */
    public VirtualClock() {
        mNow = 1_000_000_000L;
    }

    /** Returns the current time in nanoseconds. */
    public long now() {
        return mNow;
    }

    /** Schedules an action to run after a delay in nanoseconds; a negative delay counts as zero. */
    public void schedule(long nanos, Runnable action) {
        mTasks.add(new Task(mNow + Math.max(0, nanos), mNextSequence++, action));
    }

    /** Runs an action now, and then again after each period, in nanoseconds. */
    public void scheduleEvery(long nanos, Runnable action) {
        action.run();
        schedule(nanos, () -> scheduleEvery(nanos, action));
    }

    /** Runs all tasks that are due by the given time, and sets the clock to it. */
    public void runUntil(long time) {
        while (!mTasks.isEmpty() && mTasks.peek().at() <= time) {
            Task task = mTasks.poll();
            mNow = task.at();
            task.action().run();
        }
        mNow = time;
    }
}
