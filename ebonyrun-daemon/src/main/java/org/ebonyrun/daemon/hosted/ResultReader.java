package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
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
 * Reads listed results: from memory where they are known, else from the shared store.
 *
 * <p>Invariants: a result in memory was acknowledged by the store, and has its position for good.
 * That a position has no result yet is said only if this was so at a moment after the read began:
 * by the owner while its ownership is certain, after a load, or after a watch that told no change.
 * The store may tell changes in parts, so a watch that told some does not show that there are no
 * more. So what any process has shown, every process shows from then on, or says that it is unsure.
 *
 * <p>Not thread safe; confined to the duty behind {@code executor}.
 */
final class ResultReader {
    private static final int MAX_STEPS = 24;
    private static final long MAX_WAIT_MILLIS = 1_000;

    /** The steps that this process owns. */
    interface Ownership {
        /** Returns whether this process owns a step, as far as it knows. */
        boolean owns(StepId step);

        /** Returns whether the store has no results of a step but those that are listed here. */
        boolean isAuthoritative(StepId step);

        /** Returns the results that are listed of an owned step; empty if it is not owned. */
        List<SampleResult> listedResults(StepId step);
    }

    /** How a read ends. */
    interface Callback {
        /** The results from the position on; empty if there are none yet. */
        void onResults(List<SampleResult> results);

        /** It is not known what the step holds. */
        void onFault(Fault fault);
    }

    /** The results of one step that are known here. */
    private static final class Known {
        final List<SampleResult> mResults = new ArrayList<>();
        // The store's revision up to which changes are taken in; zero if a load must come first.
        long mRevision;

        /** Adds results of a list that begins with those known here. */
        void adopt(List<SampleResult> listed) {
            if (listed.size() > mResults.size()) {
                mResults.addAll(listed.subList(mResults.size(), listed.size()));
            }
        }

        /** Adds the results of a change; one that leaves a gap makes a load necessary. */
        void extend(StoreChange change) {
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

    /** A read that has not ended. */
    private record Read(StepId step, int samples, int from, long until, Callback reply) {
        long waitMillis(long now) {
            return Math.max(0, Nanos.toMillis(until - now));
        }
    }

    private final SharedStore mShared;
    private final StepStore mStore;
    private final Ownership mOwnership;
    private final Executor mExecutor;
    private final MonotonicClock mClock;
    private final EventLog mLog;
    private final Map<StepId, Known> mKnown = StepReader.newLruMap(MAX_STEPS);
    // Reads that wait for this process, the owner, to list results.
    private final List<Read> mWaiting = new ArrayList<>();

    ResultReader(
            SharedStore shared,
            Ownership ownership,
            Executor executor,
            MonotonicClock clock,
            EventLog log) {
        mShared = shared;
        mStore = new StepStore(shared);
        mOwnership = ownership;
        mExecutor = executor;
        mClock = clock;
        mLog = log;
    }

    /**
     * Reads results.
     *
     * @param samples how many samples the step has
     * @param from the position of the first result that is wanted
     * @param waitMillis how long the read may wait for a result, in milliseconds
     */
    void read(StepId step, int samples, int from, long waitMillis, Callback reply) {
        long wait = Nanos.ofMillis(Math.min(waitMillis, MAX_WAIT_MILLIS));
        proceed(new Read(step, samples, from, mClock.nanoTime() + wait, reply));
    }

    private void proceed(Read read) {
        Known known = known(read.step());
        known.adopt(mOwnership.listedResults(read.step()));
        if (isAnswered(read, known)) {
            answer(read, known);
        } else if (mOwnership.owns(read.step())) {
            mWaiting.add(read);
        } else {
            askStore(read, known);
        }
    }

    private void askStore(Read read, Known known) {
        if (known.mRevision == 0) {
            mStore.loadResults(read.step())
                    .thenAcceptAsync(result -> onLoaded(read, result), mExecutor);
        } else {
            watch(read, known);
        }
    }

    private Known known(StepId step) {
        return mKnown.computeIfAbsent(step, ignored -> new Known());
    }

    private static boolean isAnswered(Read read, Known known) {
        return known.mResults.size() > read.from() || read.from() >= read.samples();
    }

    private static void answer(Read read, Known known) {
        read.reply().onResults(known.from(read.from()));
    }

    private void onLoaded(Read read, Result<StoredStep> result) {
        result.fold(
                stored -> {
                    Known known = known(read.step());
                    known.adopt(stored.results());
                    known.mRevision = Math.max(known.mRevision, stored.revision());
                    if (isAnswered(read, known)) {
                        answer(read, known);
                    } else if (read.waitMillis(mClock.nanoTime()) > 0) {
                        watch(read, known);
                    } else {
                        sayNone(read, "load", stored.revision());
                    }
                    return stored;
                },
                fault -> unsure(read, fault));
    }

    private void watch(Read read, Known known) {
        long wait = Math.max(1, read.waitMillis(mClock.nanoTime()));
        mShared.watch(StoreKeys.resultsPrefix(read.step()), known.mRevision, wait)
                .thenAcceptAsync(result -> onWatched(read, known, result), mExecutor);
    }

    private void onWatched(Read read, Known known, Result<StoreChanges> result) {
        result.fold(
                changes -> {
                    if (changes.historyCompacted()) {
                        known.mRevision = 0;
                    } else {
                        take(known, changes);
                    }
                    boolean all = !changes.historyCompacted() && changes.changes().isEmpty();
                    if (isAnswered(read, known)) {
                        answer(read, known);
                    } else if (all && known.mRevision != 0) {
                        sayNone(read, "watch", changes.revision());
                    } else {
                        askStore(read, known);
                    }
                    return changes;
                },
                fault -> unsure(read, fault));
    }

    private static void take(Known known, StoreChanges changes) {
        // A load that another read has to make stays necessary.
        if (known.mRevision != 0) {
            known.mRevision = Math.max(known.mRevision, changes.revision());
        }
        changes.changes().forEach(known::extend);
    }

    private void sayNone(Read read, String source, long revision) {
        mLog.write(
                LogLine.of("step.read.none")
                        .with("step", read.step())
                        .with("from", read.from())
                        .with("known", known(read.step()).mResults.size())
                        .with("source", source)
                        .with("revision", revision));
        read.reply().onResults(List.of());
    }

    private static <T> T unsure(Read read, Fault fault) {
        read.reply().onFault(fault);
        return null;
    }

    /** Takes in what this process, the owner of a step, has listed. */
    void onListed(StepId step, List<SampleResult> listed) {
        known(step).adopt(listed);
        answerWaiting(mClock.nanoTime());
    }

    /** Ends reads that have waited long enough. */
    void onTick(long now) {
        if (!mWaiting.isEmpty()) {
            answerWaiting(now);
        }
    }

    private void answerWaiting(long now) {
        List<Read> uncertain = new ArrayList<>();
        for (Iterator<Read> it = mWaiting.iterator(); it.hasNext(); ) {
            Read read = it.next();
            Known known = known(read.step());
            // The step may have been handed over and taken again meanwhile.
            known.adopt(mOwnership.listedResults(read.step()));
            boolean due = now - read.until() >= 0;
            if (isAnswered(read, known)) {
                it.remove();
                answer(read, known);
            } else if (due && mOwnership.isAuthoritative(read.step())) {
                it.remove();
                sayNone(read, "owner", known.mRevision);
            } else if (due || !mOwnership.owns(read.step())) {
                it.remove();
                uncertain.add(read);
            }
        }
        uncertain.forEach(read -> askStore(read, known(read.step())));
    }
}
