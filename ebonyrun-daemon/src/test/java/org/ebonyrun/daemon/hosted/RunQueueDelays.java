package org.ebonyrun.daemon.hosted;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Tells for how long the operating system left runnable threads of some processes without a
 * processor. On a busy machine a single thread can wait for seconds, which stops all threads of its
 * process if the garbage collector needs it.
 *
 * <p>A wait counts when it ends. On systems without such statistics no thread ever waits.
 *
 * <p>Thread safe.
 */
final class RunQueueDelays {
    // Reading the threads of three processes takes a few milliseconds.
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The total delay of each thread, in nanoseconds, by the folder of the thread. */
    record Snapshot(long takenAt, Map<Path, Long> delays) {}

    private final List<Path> mProcesses;
    private Snapshot mLast = new Snapshot(0, Map.of());

    private RunQueueDelays(List<Path> processes) {
        mProcesses = processes;
    }

    /** Observes this process and those with the given IDs. */
    static RunQueueDelays of(List<Long> pids) {
        Stream<Long> all = Stream.concat(Stream.of(ProcessHandle.current().pid()), pids.stream());
        return new RunQueueDelays(
                all.map(pid -> Path.of("/proc", Long.toString(pid), "task")).toList());
    }

    /** Returns a snapshot that may be slightly older than the call. */
    synchronized Snapshot recent() {
        if (mLast.delays().isEmpty() || System.nanoTime() - mLast.takenAt() > MAX_AGE_NANOS) {
            mLast = take();
        }
        return mLast;
    }

    private Snapshot take() {
        long now = System.nanoTime();
        Map<Path, Long> delays = new HashMap<>();
        for (Path process : mProcesses) {
            try (Stream<Path> threads = Files.list(process)) {
                threads.forEach(thread -> delays.put(thread, delayNanos(thread)));
            } catch (IOException ignored) {
                // The process has ended, or this system has no such folder.
            }
        }
        return new Snapshot(now, delays);
    }

    private static long delayNanos(Path thread) {
        try {
            String[] fields = Files.readString(thread.resolve("schedstat")).trim().split(" ");
            return Long.parseLong(fields[1]);
        } catch (IOException | RuntimeException ignored) {
            return 0;
        }
    }

    /** Returns the longest delay, in milliseconds, of one thread since a snapshot. */
    long longestSince(Snapshot before) {
        long longest = 0;
        for (Map.Entry<Path, Long> thread : take().delays().entrySet()) {
            long earlier = before.delays().getOrDefault(thread.getKey(), 0L);
            longest = Math.max(longest, thread.getValue() - earlier);
        }
        return TimeUnit.NANOSECONDS.toMillis(longest);
    }
}
