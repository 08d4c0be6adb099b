package org.ebonyrun.daemon.hosted;

import java.util.PriorityQueue;

/**
 * Tasks that run at a time of the monotonic clock.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class ScheduledTasks {
    private record Task(long at, Runnable body) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>((a, b) -> Long.signum(a.at() - b.at()));

    void add(long at, Runnable body) {
        mTasks.add(new Task(at, body));
    }

    /** Runs the tasks that are due. */
    void onTick(long now) {
        while (!mTasks.isEmpty() && now - mTasks.peek().at() >= 0) {
            mTasks.poll().body().run();
        }
    }
}
