package org.ebonyrun.daemon.hosted;

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
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Answers reads of steps at any entry.
 *
 * <p>Invariant: that a step does not exist is said only after the store said so.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class StepReader {
    private static final int MAX_SUBMISSIONS = 4;

    /** How a read ends. */
    interface ReadResponder {
        /** Results from a position on. */
        void sendResults(FrontExchange to, int total, int from, List<SampleResult> results);

        /** The body of a sample. */
        void sendBody(FrontExchange to, byte[] body);

        /** The step or sample does not exist. */
        void sendNotFound(FrontExchange to, String what);

        /** It is not known whether the step exists, or what it holds. */
        void sendFault(FrontExchange to, Fault fault);
    }

    private final HostedContext mParts;
    private final SharedStore mShared;
    private final StepStore mStore;
    private final ReadResponder mAnswers;
    private final ResultReader mResults;
    private final Map<StepId, StepSpec> mSubmissions = newLruMap(MAX_SUBMISSIONS);

    StepReader(
            HostedContext parts,
            SharedStore shared,
            StepStore store,
            ResultReader.Ownership owner,
            ReadResponder answers) {
        mParts = parts;
        mShared = shared;
        mStore = store;
        mAnswers = answers;
        mResults =
                new ResultReader(
                        shared, owner, parts.executor(), MonotonicClock.system(), parts.log());
    }

    /** Creates a map that keeps the steps that were used last. */
    static <V> Map<StepId, V> newLruMap(int most) {
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
        withManifest(
                step,
                to,
                manifest ->
                        mResults.read(
                                step,
                                manifest.samples(),
                                from,
                                waitMillis,
                                reply(to, manifest.samples(), from)));
    }

    private ResultReader.Callback reply(FrontExchange to, int total, int from) {
        return new ResultReader.Callback() {
            @Override
            public void onResults(List<SampleResult> results) {
                mAnswers.sendResults(to, total, from, results);
            }

            @Override
            public void onFault(Fault fault) {
                mAnswers.sendFault(to, fault);
            }
        };
    }

    /** Takes in what the owner of a step, this entry, has listed. */
    void onListed(StepId step, List<SampleResult> listed) {
        mResults.onListed(step, listed);
    }

    /** Ends reads that have waited long enough. */
    void onTick(long now) {
        mResults.onTick(now);
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
                                        mAnswers.sendFault(to, fault);
                                    } else {
                                        answerSample(spec, sample, to);
                                    }
                                }));
    }

    private void answerSample(StepSpec spec, String sample, FrontExchange to) {
        for (SampleSpec candidate : spec.samples()) {
            if (candidate.id().equals(sample)) {
                mAnswers.sendBody(to, candidate.body());
                return;
            }
        }
        mAnswers.sendNotFound(to, "sample " + sample);
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
        StepStatus known = mParts.directory().get(step);
        StepManifest manifest = known == null ? null : known.mManifest;
        if (manifest != null) {
            use.accept(manifest);
            return;
        }
        mShared.get(StoreKeys.liveKey(step, StoreKeys.MANIFEST))
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
                        mAnswers.sendNotFound(to, "step " + step);
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
                        mAnswers.sendFault(to, unknown("the manifest can't be read"));
                    }
                    return item;
                },
                fault -> {
                    mAnswers.sendFault(to, fault);
                    return null;
                });
    }
}
