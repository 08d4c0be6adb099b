package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.ebonyrun.base.eventloop.EventLoopCallbacks;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;

/**
 * Reads listed results, from memory if they are cached and from the shared store otherwise.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A cached result was acknowledged by the store, and its position never changes.
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
    private static final int MAX_STEPS = 24;
    private static final long MAX_WAIT_MILLIS = 1_000;

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

    /** The cached results of one step, from its first position on without a gap. */
    private static final class CachedResults {
        final List<SampleResult> mResults = new ArrayList<>();
        // The store revision up to which changes were applied; zero if a load must come first.
        long mRevision;

        /** Adds the new results of a list that starts with the cached ones. */
        void adopt(List<SampleResult> listed) {
            if (listed.size() > mResults.size()) {
                mResults.addAll(listed.subList(mResults.size(), listed.size()));
            }
        }

        /** Applies one change. A change that would leave a gap makes a load necessary. */
        void apply(StoreChange change) {
            StoreItem item = change.item();
            if (item == null) {
                return;
            }
            int position = StoreKeys.resultPosition(item.key());
            if (position == mResults.size()) {
                mResults.addAll(StepCodec.results(item.value()));
            } else if (position > mResults.size()) {
                mRevision = 0;
            }
        }

        List<SampleResult> from(int position) {
            int begin = Math.min(position, mResults.size());
            return mResults.subList(begin, mResults.size());
        }
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
    private final Map<StepId, CachedResults> mCache = StepReader.newLruMap(MAX_STEPS);
    // Reads of owned steps that wait until this process lists further results.
    private final List<Read> mWaiting = new ArrayList<>();

    ResultReader(
            SharedStore shared,
            Ownership ownership,
            Executor executor,
            MonotonicClock clock,
            EventLog log) {
        mSharedStore = shared;
        mStepStore = new StepStore(shared);
        mOwnership = ownership;
        mExecutor = executor;
        mClock = clock;
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
        CachedResults cached = cached(read.step());
        cached.adopt(mOwnership.listedResults(read.step()));
        if (isComplete(read, cached)) {
            complete(read, cached);
        } else if (mOwnership.owns(read.step())) {
            mWaiting.add(read);
        } else {
            readFromStore(read, cached);
        }
    }

    private void readFromStore(Read read, CachedResults cached) {
        if (cached.mRevision == 0) {
            mStepStore
                    .loadResults(read.step())
                    .thenAcceptAsync(
                            EventLoopCallbacks.rethrowing(
                                    mExecutor, result -> onLoaded(read, result)),
                            mExecutor);
        } else {
            watch(read, cached);
        }
    }

    private CachedResults cached(StepId step) {
        return mCache.computeIfAbsent(step, ignored -> new CachedResults());
    }

    private static boolean isComplete(Read read, CachedResults cached) {
        return cached.mResults.size() > read.from() || read.from() >= read.samples();
    }

    private static void complete(Read read, CachedResults cached) {
        read.callback().onResults(cached.from(read.from()));
    }

    private void onLoaded(Read read, Result<StoredStep> result) {
        result.fold(
                stored -> {
                    CachedResults cached = cached(read.step());
                    cached.adopt(stored.results());
                    cached.mRevision = Math.max(cached.mRevision, stored.revision());
                    if (isComplete(read, cached)) {
                        complete(read, cached);
                    } else if (read.waitMillis(mClock.nanoTime()) > 0) {
                        watch(read, cached);
                    } else {
                        completeEmpty(read, "load", stored.revision());
                    }
                    return stored;
                },
                fault -> fail(read, fault));
    }

    private void watch(Read read, CachedResults cached) {
        long wait = Math.max(1, read.waitMillis(mClock.nanoTime()));
        mSharedStore
                .watch(StoreKeys.resultsPrefix(read.step()), cached.mRevision, wait, false)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(
                                mExecutor, result -> onWatched(read, cached, result)),
                        mExecutor);
    }

    private void onWatched(Read read, CachedResults cached, Result<StoreChanges> result) {
        result.fold(
                changes -> {
                    if (changes.historyCompacted()) {
                        cached.mRevision = 0;
                    } else {
                        applyChanges(cached, changes);
                    }
                    boolean noChanges = !changes.historyCompacted() && changes.changes().isEmpty();
                    if (isComplete(read, cached)) {
                        complete(read, cached);
                    } else if (noChanges && cached.mRevision != 0) {
                        completeEmpty(read, "watch", changes.revision());
                    } else {
                        readFromStore(read, cached);
                    }
                    return changes;
                },
                fault -> fail(read, fault));
    }

    private static void applyChanges(CachedResults cached, StoreChanges changes) {
        // Zero marks a load that is still needed, so it must not be overwritten.
        if (cached.mRevision != 0) {
            cached.mRevision = Math.max(cached.mRevision, changes.revision());
        }
        changes.changes().forEach(cached::apply);
    }

    private void completeEmpty(Read read, String source, long revision) {
        mLog.write(
                LogLine.of("step.read.none")
                        .with("step", read.step())
                        .with("from", read.from())
                        .with("known", cached(read.step()).mResults.size())
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
        cached(step).adopt(listed);
        completeWaiting(mClock.nanoTime());
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
            CachedResults cached = cached(read.step());
            // The step may have been handed over and claimed again since the read began.
            cached.adopt(mOwnership.listedResults(read.step()));
            boolean expired = now - read.deadline() >= 0;
            if (isComplete(read, cached)) {
                it.remove();
                complete(read, cached);
            } else if (expired && mOwnership.isAuthoritative(read.step())) {
                it.remove();
                completeEmpty(read, "owner", cached.mRevision);
            } else if (expired || !mOwnership.owns(read.step())) {
                it.remove();
                unresolved.add(read);
            }
        }
        unresolved.forEach(read -> readFromStore(read, cached(read.step())));
    }
}
