package org.ebonyrun.standin.virtual;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock and its queue of tasks. Tasks of the same time run in the order in which they were
 * scheduled, so a run is a function of its seed.
 *
 * <p>Not thread safe; one thread runs a whole world.
 */
public final class VirtualClock {
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private long mNow;
    private long mSequence;

    /** A task and when it is due. */
    private record Task(long at, long sequence, Runnable action) {}

    /** Creates a clock that stands at one second. */
    public VirtualClock() {
        mNow = 1_000_000_000L;
    }

    /** Returns the time in nanoseconds. */
    public long now() {
        return mNow;
    }

    /** Runs an action after a delay in nanoseconds. */
    public void schedule(long nanos, Runnable action) {
        mTasks.add(new Task(mNow + Math.max(0, nanos), mSequence++, action));
    }

    /** Runs an action now and then once a period, in nanoseconds, for ever. */
    public void scheduleEvery(long nanos, Runnable action) {
        action.run();
        schedule(nanos, () -> scheduleEvery(nanos, action));
    }

    /** Runs all tasks that are due until a time, and stands there. */
    public void runUntil(long time) {
        while (!mTasks.isEmpty() && mTasks.peek().at() <= time) {
            Task task = mTasks.poll();
            mNow = task.at();
            task.action().run();
        }
        mNow = time;
    }
}
