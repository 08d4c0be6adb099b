package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Serves reads of steps at any entry, whether it owns the step or not.
 *
 * <p>Invariant: a step is reported as missing only after a read of the store has shown it.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StepReader {
    /** Responds to reads: one call of one method for each read. */
    interface ReadResponder {
        /**
         * Responds with results.
         *
         * @param total the number of samples of the step
         * @param from the position of the first result
         */
        void sendResults(FrontExchange to, int total, int from, List<SampleResult> results);

        /** Responds with the body of a sample. */
        void sendBody(FrontExchange to, byte[] body);

        /** Responds that the step or sample does not exist. */
        void sendNotFound(FrontExchange to, String what);

        /** Responds that the step's existence or content could not be determined. */
        void sendFault(FrontExchange to, Fault fault);
    }

    private final HostedContext mContext;
    private final SharedStore mSharedStore;
    private final StepOwnership mOwnership;
    private final StepLoader mLoader;
    private final SubmissionCache mCache;
    // By step that is being loaded, those who wait for it.
    private final Map<StepId, List<BiConsumer<StepSpec, @Nullable Fault>>> mLoading =
            new HashMap<>();
    private final ReadResponder mResponder;
    private final ResultReader mResults;

    StepReader(
            HostedContext context,
            SharedStore shared,
            StepStore store,
            StepOwnership ownership,
            ReadResponder responder) {
        mContext = context;
        mSharedStore = shared;
        mOwnership = ownership;
        mCache = ownership.submissions();
        mLoader = new StepLoader(context, store, mCache);
        mResponder = responder;
        mResults =
                new ResultReader(
                        shared,
                        ownership,
                        context.executor(),
                        MonotonicClock.system(),
                        context.memory(),
                        context.log());
    }

    /**
     * Reads results.
     *
     * @param from the position of the first result
     * @param waitMillis how long to wait if there is no such result yet, in milliseconds
     * @param access returns whether the caller may reach a step
     */
    void read(
            StepId step,
            int from,
            long waitMillis,
            Predicate<StepManifest> access,
            FrontExchange to) {
        withManifest(
                step,
                access,
                to,
                manifest ->
                        mResults.read(
                                step,
                                manifest.samples(),
                                from,
                                waitMillis,
                                callback(to, manifest.samples(), from)));
    }

    private ResultReader.Callback callback(FrontExchange to, int total, int from) {
        return new ResultReader.Callback() {
            @Override
            public void onResults(List<SampleResult> results) {
                mResponder.sendResults(to, total, from, results);
            }

            @Override
            public void onFault(Fault fault) {
                mResponder.sendFault(to, fault);
            }
        };
    }

    /** Caches results that this entry has listed as the owner of a step. */
    void onListed(StepId step, List<SampleResult> listed) {
        mResults.onListed(step, listed);
    }

    /** Ends the wait of reads whose deadline has passed. */
    void onTick(long now) {
        mResults.onTick(now);
    }

    private static Fault unreadable(String detail) {
        return Fault.notRun(FaultCode.PLATFORM_UNAVAILABLE, "step.read", "", detail);
    }

    /**
     * Reads the body of a sample.
     *
     * @param access returns whether the caller may reach a step
     */
    void readSample(StepId step, String sample, Predicate<StepManifest> access, FrontExchange to) {
        withManifest(
                step,
                access,
                to,
                manifest ->
                        withSubmission(
                                step,
                                manifest,
                                (spec, fault) -> {
                                    if (fault != null) {
                                        mResponder.sendFault(to, fault);
                                    } else {
                                        respondWithSample(spec, sample, to);
                                    }
                                }));
    }

    private void respondWithSample(StepSpec spec, String sample, FrontExchange to) {
        for (SampleSpec candidate : spec.samples()) {
            if (candidate.id().equals(sample)) {
                mResponder.sendBody(to, candidate.body());
                return;
            }
        }
        mResponder.sendNotFound(to, "sample " + sample);
    }

    /** Passes {@code callback} a step's submission, or the fault that prevented reading it. */
    private void withSubmission(
            StepId step, StepManifest manifest, BiConsumer<StepSpec, @Nullable Fault> callback) {
        StepSpec owned = mOwnership.ownedSpec(step);
        StepSpec known = owned == null ? mCache.get(step) : owned;
        if (known != null && Objects.equals(known.workspace(), manifest.workspace())) {
            callback.accept(known, null);
            return;
        }
        List<BiConsumer<StepSpec, @Nullable Fault>> waiting = mLoading.get(step);
        if (waiting != null) {
            waiting.add(callback);
            return;
        }
        List<BiConsumer<StepSpec, @Nullable Fault>> callbacks = new ArrayList<>();
        callbacks.add(callback);
        mLoading.put(step, callbacks);
        mLoader.load(step, manifest, result -> onLoaded(step, result));
    }

    private void onLoaded(StepId step, Result<LoadedStep> result) {
        List<BiConsumer<StepSpec, @Nullable Fault>> callbacks = mLoading.remove(step);
        result.fold(
                loaded -> {
                    callbacks.forEach(callback -> callback.accept(loaded.spec(), null));
                    mCache.add(loaded);
                    return true;
                },
                fault -> {
                    callbacks.forEach(callback -> callback.accept(null, fault));
                    return false;
                });
    }

    /**
     * Passes {@code callback} the manifest of a step; responds to the read if it is missing.
     *
     * @param access returns whether the caller may reach a step; one that it may not reach counts
     *     as missing
     */
    void withManifest(
            StepId step,
            Predicate<StepManifest> access,
            FrontExchange to,
            Consumer<StepManifest> callback) {
        Consumer<StepManifest> checked =
                found -> {
                    if (access.test(found)) {
                        callback.accept(found);
                    } else {
                        mResponder.sendNotFound(to, "step " + step);
                    }
                };
        StepStatus status = mContext.directory().get(step);
        StepManifest manifest = status == null ? null : status.mManifest;
        if (manifest != null) {
            checked.accept(manifest);
            return;
        }
        mSharedStore
                .get(StoreKeys.liveKey(step, StoreKeys.MANIFEST))
                .thenAcceptAsync(
                        mContext.callback(result -> onManifest(step, to, checked, result)),
                        mContext.executor());
    }

    private void onManifest(
            StepId step,
            FrontExchange to,
            Consumer<StepManifest> callback,
            Result<Optional<StoreItem>> result) {
        result.fold(
                item -> {
                    if (item.isEmpty()) {
                        mResponder.sendNotFound(to, "step " + step);
                        return item;
                    }
                    try {
                        callback.accept(StepCodec.manifest(item.get().value()));
                    } catch (IllegalArgumentException e) {
                        mContext.log()
                                .write(
                                        LogLine.of("store.unreadable")
                                                .with("key", item.get().key())
                                                .with("why", e.getMessage()));
                        mResponder.sendFault(to, unreadable("the stored manifest is malformed"));
                    }
                    return item;
                },
                fault -> {
                    mResponder.sendFault(to, fault);
                    return null;
                });
    }
}
