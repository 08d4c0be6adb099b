package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Answers reads of steps at any entry: from memory where the answer can't change any more, else
 * from the shared store.
 *
 * <p>Invariants: a result in memory was acknowledged by the store, and has its position for good;
 * that a step does not exist is said only after the store said so.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class StepReader {
    private static final int MAX_STEPS = 24;
    private static final int MAX_SUBMISSIONS = 4;
    private static final long MAX_WAIT_MILLIS = 1_000;

    /** How a read ends. */
    interface Answers {
        /** Results from a position on. */
        void results(FrontExchange to, int total, int from, List<SampleResult> results);

        /** The body of a sample. */
        void body(FrontExchange to, byte[] body);

        /** The step or sample does not exist. */
        void missing(FrontExchange to, String what);

        /** It is not known whether the step exists, or what it holds. */
        void unsure(FrontExchange to, Fault fault);
    }

    /** The results of one step that are known here. */
    private static final class Known {
        final List<SampleResult> mResults = new ArrayList<>();
        long mRevision;
    }

    /** A read that waits for the next result of a step that this entry owns. */
    private record Waiter(FrontExchange to, StepId step, int from, long until) {}

    private final EntryParts mParts;
    private final SharedStore mShared;
    private final StepStore mStore;
    private final StepOwner mOwner;
    private final Answers mAnswers;
    private final Map<StepId, Known> mKnown = lru(MAX_STEPS);
    private final Map<StepId, StepSpec> mSubmissions = lru(MAX_SUBMISSIONS);
    private final List<Waiter> mWaiters = new ArrayList<>();

    StepReader(
            EntryParts parts,
            SharedStore shared,
            StepStore store,
            StepOwner owner,
            Answers answers) {
        mParts = parts;
        mShared = shared;
        mStore = store;
        mOwner = owner;
        mAnswers = answers;
    }

    private static <V> Map<StepId, V> lru(int most) {
        return new LinkedHashMap<>(most, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<StepId, V> eldest) {
                return size() > most;
            }
        };
    }

    /** Reads results. */
    void read(StepId step, int from, long waitMillis, FrontExchange to) {
        withManifest(step, to, manifest -> read(step, manifest, from, waitMillis, to));
    }

    private void read(
            StepId step, StepManifest manifest, int from, long waitMillis, FrontExchange to) {
        Known known = mKnown.computeIfAbsent(step, ignored -> new Known());
        boolean owned = mOwner.owns(step);
        if (owned) {
            adopt(known, mOwner.listed(step));
        }
        if (known.mResults.size() > from || from >= manifest.samples()) {
            answer(to, manifest, from, known);
        } else if (owned) {
            long wait = Math.min(waitMillis, MAX_WAIT_MILLIS);
            long until = System.nanoTime() + Nanos.ofMillis(wait);
            mWaiters.add(new Waiter(to, step, from, until));
        } else if (known.mRevision == 0) {
            mStore.loadResults(step)
                    .thenAcceptAsync(
                            result -> onLoaded(step, manifest, from, waitMillis, to, result),
                            mParts.executor());
        } else {
            watch(step, manifest, from, waitMillis, to, known);
        }
    }

    private void onLoaded(
            StepId step,
            StepManifest manifest,
            int from,
            long waitMillis,
            FrontExchange to,
            Result<StoredStep> result) {
        result.fold(
                stored -> {
                    Known known = mKnown.computeIfAbsent(step, ignored -> new Known());
                    adopt(known, stored.listed());
                    known.mRevision = Math.max(known.mRevision, stored.revision());
                    if (known.mResults.size() > from || waitMillis <= 0) {
                        answer(to, manifest, from, known);
                    } else {
                        watch(step, manifest, from, waitMillis, to, known);
                    }
                    return stored;
                },
                fault -> {
                    mAnswers.unsure(to, fault);
                    return null;
                });
    }

    private static void adopt(Known known, List<SampleResult> listed) {
        if (listed.size() > known.mResults.size()) {
            known.mResults.addAll(listed.subList(known.mResults.size(), listed.size()));
        }
    }

    private void watch(
            StepId step,
            StepManifest manifest,
            int from,
            long waitMillis,
            FrontExchange to,
            Known known) {
        long wait = Math.max(1, Math.min(waitMillis, MAX_WAIT_MILLIS));
        mShared.watch(StepKeys.results(step), known.mRevision, wait)
                .thenAcceptAsync(
                        result -> onWatched(step, manifest, from, to, known, result),
                        mParts.executor());
    }

    private void onWatched(
            StepId step,
            StepManifest manifest,
            int from,
            FrontExchange to,
            Known known,
            Result<StoreChanges> result) {
        result.fold(
                changes -> {
                    for (StoreChange change : changes.changes()) {
                        extend(known, change);
                    }
                    boolean gap = changes.historyGone() || known.mRevision == 0;
                    known.mRevision = gap ? 0 : Math.max(known.mRevision, changes.revision());
                    if (known.mResults.size() <= from && gap) {
                        mStore.loadResults(step)
                                .thenAcceptAsync(
                                        loaded -> onLoaded(step, manifest, from, 0, to, loaded),
                                        mParts.executor());
                    } else {
                        answer(to, manifest, from, known);
                    }
                    return changes;
                },
                fault -> {
                    mAnswers.unsure(to, fault);
                    return null;
                });
    }

    /** Adds the results of a change; a gap makes the next read start from the store again. */
    private static void extend(Known known, StoreChange change) {
        StoreItem item = change.item();
        if (item == null) {
            return;
        }
        int position = Integer.parseInt(item.key().substring(item.key().lastIndexOf('/') + 1));
        if (position == known.mResults.size()) {
            known.mResults.addAll(StepCodec.results(item.value()));
        } else if (position > known.mResults.size()) {
            known.mRevision = 0;
        }
    }

    private void answer(FrontExchange to, StepManifest manifest, int from, Known known) {
        int begin = Math.min(from, known.mResults.size());
        List<SampleResult> results = known.mResults.subList(begin, known.mResults.size());
        mAnswers.results(to, manifest.samples(), from, results);
    }

    /** Takes in what the owner of a step, this entry, has listed. */
    void onListed(StepId step, List<SampleResult> listed) {
        adopt(mKnown.computeIfAbsent(step, ignored -> new Known()), listed);
        answerWaiters(System.nanoTime());
    }

    /** Answers reads that have waited long enough. */
    void onTick(long now) {
        if (!mWaiters.isEmpty()) {
            answerWaiters(now);
        }
    }

    private void answerWaiters(long now) {
        for (Iterator<Waiter> it = mWaiters.iterator(); it.hasNext(); ) {
            Waiter waiter = it.next();
            Known known = mKnown.computeIfAbsent(waiter.step(), ignored -> new Known());
            KnownStep step = mParts.directory().get(waiter.step());
            StepManifest manifest = step == null ? null : step.mManifest;
            boolean due = known.mResults.size() > waiter.from() || now - waiter.until() >= 0;
            if (due && manifest != null) {
                it.remove();
                answer(waiter.to(), manifest, waiter.from(), known);
            } else if (due) {
                it.remove();
                mAnswers.unsure(waiter.to(), unknown("the step's manifest is not known yet"));
            }
        }
    }

    private static Fault unknown(String detail) {
        return Fault.notRun(FaultCode.PLATFORM_UNAVAILABLE, "step.read", "", detail);
    }

    /** Reads the body of a sample. */
    void readSample(StepId step, String sample, FrontExchange to) {
        withManifest(
                step,
                to,
                manifest ->
                        withSubmission(
                                step,
                                manifest,
                                (spec, fault) -> {
                                    if (fault != null) {
                                        mAnswers.unsure(to, fault);
                                    } else {
                                        answerSample(spec, sample, to);
                                    }
                                }));
    }

    private void answerSample(StepSpec spec, String sample, FrontExchange to) {
        for (SampleSpec candidate : spec.samples()) {
            if (candidate.id().equals(sample)) {
                mAnswers.body(to, candidate.body());
                return;
            }
        }
        mAnswers.missing(to, "sample " + sample);
    }

    private void withSubmission(
            StepId step, StepManifest manifest, BiConsumer<StepSpec, @Nullable Fault> use) {
        StepSpec cached = mSubmissions.get(step);
        if (cached != null) {
            use.accept(cached, null);
            return;
        }
        mStore.load(step)
                .thenAcceptAsync(
                        result -> {
                            Result<StepSpec> spec =
                                    result.flatMap(stored -> decode(step, manifest, stored));
                            spec.fold(
                                    value -> {
                                        mSubmissions.put(step, value);
                                        use.accept(value, null);
                                        return value;
                                    },
                                    fault -> {
                                        use.accept(null, fault);
                                        return null;
                                    });
                        },
                        mParts.executor());
    }

    private static Result<StepSpec> decode(StepId step, StepManifest manifest, StoredStep stored) {
        try {
            return Result.ok(
                    StepDecoder.decode(
                            step, manifest.host(), manifest.prefix(), stored.submission()));
        } catch (IllegalArgumentException e) {
            return Result.err(unknown("the stored step can't be read: " + e.getMessage()));
        }
    }

    /** Remembers a submission whose bodies may be asked for. */
    void onSubmitted(StepSpec spec) {
        mSubmissions.put(spec.id(), spec);
    }

    /** Gives {@code use} the manifest of a step, or ends the read if there is none. */
    void withManifest(StepId step, FrontExchange to, Consumer<StepManifest> use) {
        KnownStep known = mParts.directory().get(step);
        StepManifest manifest = known == null ? null : known.mManifest;
        if (manifest != null) {
            use.accept(manifest);
            return;
        }
        mShared.get(StepKeys.live(step, StepKeys.MANIFEST))
                .thenAcceptAsync(result -> onManifest(step, to, use, result), mParts.executor());
    }

    private void onManifest(
            StepId step,
            FrontExchange to,
            Consumer<StepManifest> use,
            Result<Optional<StoreItem>> result) {
        result.fold(
                item -> {
                    if (item.isEmpty()) {
                        mAnswers.missing(to, "step " + step);
                        return item;
                    }
                    try {
                        use.accept(StepCodec.manifest(item.get().value()));
                    } catch (IllegalArgumentException e) {
                        mParts.log()
                                .write(
                                        LogLine.of("store.unreadable")
                                                .with("key", item.get().key())
                                                .with("why", e.getMessage()));
                        mAnswers.unsure(to, unknown("the manifest can't be read"));
                    }
                    return item;
                },
                fault -> {
                    mAnswers.unsure(to, fault);
                    return null;
                });
    }
}
