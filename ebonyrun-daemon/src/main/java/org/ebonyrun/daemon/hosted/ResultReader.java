package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.ebonyrun.base.eventloop.EventLoopCallbacks;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChanges;

/**
 * Reads listed results, from memory if they are cached and from the shared store otherwise.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A cached result was acknowledged by the store, and its position never changes.
 *   <li>The cache takes a fixed share of the memory, beside the account. A load claims what it
 *       reads, which is a window around a position; one is open for a step.
 *   <li>A read reports that a position has no result yet only if that was so at some moment after
 *       the read began. Three sources show this: the owner's list while it is authoritative, a load
 *       from the store, or a watch that returned no change. The store may return changes in parts,
 *       so a watch that returned some changes does not show that there are no more.
 * </ul>
 *
 * <p>Hence reads are monotonic across processes: once any process has returned a result, a later
 * read at any process returns it too or ends with a fault.
 *
 * <p>Not thread safe; confined to the event loop behind {@code executor}.
 */
final class ResultReader {
    private static final long MAX_WAIT_MILLIS = 1_000;
    // A response takes up to 1 MB; callers go on where it ends.
    private static final long MAX_WINDOW_BYTES = 2 * 1024 * 1024;
    private static final int WINDOW_SHARE = 32;
    private static final int CACHE_SHARE = 8;

    /** Provides the steps that this process owns and the results that it has listed. */
    interface Ownership {
        /** Returns whether this process owns a step by its own, possibly outdated, state. */
        boolean owns(StepId step);

        /** Returns whether {@link #listedResults} certainly has every result that the store has. */
        boolean isAuthoritative(StepId step);

        /** Returns the listed results of an owned step; empty if it is not owned. */
        List<SampleResult> listedResults(StepId step);
    }

    /** Receives the outcome of a read: one call of one method. */
    interface Callback {
        /** Called with the results from the position on; empty if there are none yet. */
        void onResults(List<SampleResult> results);

        /** Called if the results could not be determined. */
        void onFault(Fault fault);
    }

    /** An open read. */
    private record Read(StepId step, int samples, int from, long deadline, Callback callback) {
        long waitMillis(long now) {
            return Math.max(0, Nanos.toMillis(deadline - now));
        }
    }

    private final SharedStore mSharedStore;
    private final StepStore mStepStore;
    private final Ownership mOwnership;
    private final Executor mExecutor;
    private final MonotonicClock mClock;
    private final EventLog mLog;
    private final MemoryAccount mMemory;
    private final ResultCache mCache;
    private final long mWindowBytes;
    // By step that is being loaded, the reads that begin again afterwards.
    private final Map<StepId, List<Read>> mLoading = new HashMap<>();
    // Reads of owned steps that wait until this process lists further results.
    private final List<Read> mWaiting = new ArrayList<>();

    ResultReader(
            SharedStore shared,
            Ownership ownership,
            Executor executor,
            MonotonicClock clock,
            MemoryAccount memory,
            EventLog log) {
        mSharedStore = shared;
        mStepStore = new StepStore(shared);
        mOwnership = ownership;
        mExecutor = executor;
        mClock = clock;
        mMemory = memory;
        mCache = new ResultCache(memory.limit() / CACHE_SHARE);
        mWindowBytes = Math.min(MAX_WINDOW_BYTES, memory.limit() / WINDOW_SHARE);
        mLog = log;
    }

    /**
     * Reads results.
     *
     * @param samples the number of samples of the step
     * @param from the position of the first result to return
     * @param waitMillis how long the read may wait for a result, in milliseconds; at most one
     *     second
     */
    void read(StepId step, int samples, int from, long waitMillis, Callback callback) {
        long wait = Nanos.ofMillis(Math.min(waitMillis, MAX_WAIT_MILLIS));
        start(new Read(step, samples, from, mClock.nanoTime() + wait, callback));
    }

    private void start(Read read) {
        if (tryComplete(read)) {
            return;
        }
        if (mOwnership.owns(read.step())) {
            mWaiting.add(read);
        } else {
            readFromStore(read);
        }
    }

    /** Completes a read if its results are known, or there can't be any. */
    private boolean tryComplete(Read read) {
        List<SampleResult> listed = mOwnership.listedResults(read.step());
        ResultWindow window = mCache.window(read.step());
        if (listed.size() > read.from()) {
            read.callback().onResults(listed.subList(read.from(), listed.size()));
        } else if (window.contains(read.from())) {
            read.callback().onResults(window.from(read.from()));
        } else if (read.from() >= read.samples()) {
            read.callback().onResults(List.of());
        } else {
            return false;
        }
        return true;
    }

    private void readFromStore(Read read) {
        ResultWindow window = mCache.window(read.step());
        if (window.revision() != 0 && read.from() >= window.end()) {
            watch(read, window);
            return;
        }
        List<Read> waiting = mLoading.get(read.step());
        if (waiting == null) {
            load(read, window.valueStartBefore(read.from()));
        } else {
            waiting.add(read);
        }
    }

    private void load(Read read, int start) {
        MemoryClaim memory = mMemory.open(MemoryClass.STEP);
        ResultCollector collector = new ResultCollector(start, read.from(), mWindowBytes, memory);
        mLoading.put(read.step(), new ArrayList<>());
        mStepStore
                .loadResults(read.step(), start, collector)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(
                                mExecutor,
                                result -> {
                                    onLoaded(read, collector, result);
                                    memory.release();
                                }),
                        mExecutor);
    }

    private void onLoaded(Read read, ResultCollector collector, Result<Long> result) {
        List<Read> waiting = mLoading.remove(read.step());
        result.fold(
                revision -> {
                    ResultWindow window = mCache.window(read.step());
                    window.onLoaded(collector, revision);
                    if (!tryComplete(read)) {
                        onAbsent(read, window, revision);
                    }
                    waiting.forEach(this::start);
                    return revision;
                },
                fault -> {
                    waiting.forEach(other -> fail(other, fault));
                    return fail(read, fault);
                });
        mCache.trim();
    }

    private void onAbsent(Read read, ResultWindow window, long revision) {
        if (read.waitMillis(mClock.nanoTime()) > 0) {
            watch(read, window);
        } else {
            completeEmpty(read, "load", revision);
        }
    }

    private void watch(Read read, ResultWindow window) {
        long wait = Math.max(1, read.waitMillis(mClock.nanoTime()));
        mSharedStore
                .watch(StoreKeys.resultsPrefix(read.step()), window.revision(), wait, false)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(
                                mExecutor, result -> onWatched(read, window, result)),
                        mExecutor);
    }

    private void onWatched(Read read, ResultWindow window, Result<StoreChanges> result) {
        result.fold(
                changes -> {
                    if (changes.historyCompacted()) {
                        window.onHistoryLost();
                    } else {
                        window.apply(changes.changes(), changes.revision());
                    }
                    boolean noChanges = !changes.historyCompacted() && changes.changes().isEmpty();
                    if (!tryComplete(read)) {
                        if (noChanges && window.revision() != 0) {
                            completeEmpty(read, "watch", changes.revision());
                        } else {
                            readFromStore(read);
                        }
                    }
                    mCache.trim();
                    return changes;
                },
                fault -> fail(read, fault));
    }

    private void completeEmpty(Read read, String source, long revision) {
        mLog.write(
                LogLine.of("step.read.none")
                        .with("step", read.step())
                        .with("from", read.from())
                        .with("known", mCache.window(read.step()).end())
                        .with("source", source)
                        .with("revision", revision));
        read.callback().onResults(List.of());
    }

    private static <T> T fail(Read read, Fault fault) {
        read.callback().onFault(fault);
        return null;
    }

    /** Caches results that this process has listed as the owner of a step. */
    void onListed(StepId step, List<SampleResult> listed) {
        mCache.window(step).adopt(listed);
        completeWaiting(mClock.nanoTime());
        mCache.trim();
    }

    /** Ends the wait of reads whose deadline has passed or whose step is no longer owned. */
    void onTick(long now) {
        if (!mWaiting.isEmpty()) {
            completeWaiting(now);
        }
    }

    private void completeWaiting(long now) {
        List<Read> unresolved = new ArrayList<>();
        for (Iterator<Read> it = mWaiting.iterator(); it.hasNext(); ) {
            Read read = it.next();
            boolean expired = now - read.deadline() >= 0;
            if (tryComplete(read)) {
                it.remove();
            } else if (expired && mOwnership.isAuthoritative(read.step())) {
                it.remove();
                completeEmpty(read, "owner", mCache.window(read.step()).revision());
            } else if (expired || !mOwnership.owns(read.step())) {
                it.remove();
                unresolved.add(read);
            }
        }
        unresolved.forEach(this::readFromStore);
    }
}
