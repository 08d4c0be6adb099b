package org.ebonyrun.core;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** A simulated clock that runs tasks in the order of their times, without waiting. */
public final class VirtualClock {
    private record Task(long at, long number, LongConsumer action) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() == b.at()
                                    ? Long.compare(a.number(), b.number())
                                    : Long.compare(a.at(), b.at()));
    private long mNextNumber;
    private long mNow;

    /** Returns the time, in nanoseconds. */
    public long now() {
        return mNow;
    }

    /** Schedules a task for a time, or for now if that time has passed. */
    public void schedule(long time, LongConsumer action) {
        mTasks.add(new Task(Math.max(time, mNow), mNextNumber++, action));
    }

    /** Schedules a task to run periodically, first after one period. */
    public void scheduleEvery(long period, LongConsumer action) {
        schedule(
                mNow + period,
                now -> {
                    action.accept(now);
                    scheduleEvery(period, action);
                });
    }

    /** Runs all tasks up to and including a time, and sets the clock to that time. */
    public void runUntil(long end) {
        while (!mTasks.isEmpty() && mTasks.peek().at() <= end) {
            Task task = mTasks.poll();
            mNow = task.at();
            task.action().accept(mNow);
        }
        mNow = end;
    }
}
