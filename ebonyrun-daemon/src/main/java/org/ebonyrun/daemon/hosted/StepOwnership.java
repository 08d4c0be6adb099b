package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.ClaimDelay;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.jspecify.annotations.Nullable;

/**
 * Manages the steps that this entry owns: accepts new steps, claims steps whose owner is gone, and
 * hands steps over when the entry stops.
 *
 * <p>Ownership is a key in the shared store that is attached to the entry's lease and holds the
 * name of the owner process. Every write of results is fenced by the revision of that key.
 *
 * <p>Invariant: a step counts as owned here only if the store has, or had, an owner key that this
 * process wrote. Two processes may both count a step as owned for a while, but the fence lets only
 * one of them list results.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StepOwnership
        implements ResultWriter.Ownership, ResultReader.Ownership, ClaimedSteps.Listener {
    private static final long RETRY_NANOS = Nanos.ofMillis(150);
    // How long a step that could not be loaded is left to other entries.
    private static final long RELEASED_NANOS = Nanos.ofMillis(2_000);
    // How long a new step waits for the texts of its predecessor to be loaded.
    private static final long CARRY_WAIT_NANOS = Nanos.ofMillis(150);

    private final HostedContext mContext;
    private final StepStore mStore;
    private final StepMachine mMachine;
    private final RandomGenerator mRandom;
    private final Map<StepId, OwnedStep> mOwned = new HashMap<>();
    // When to claim a step next, by System.nanoTime().
    private final Map<StepId, Long> mClaimAt = new HashMap<>();
    // Steps that are being claimed or loaded.
    private final Set<StepId> mClaiming = new HashSet<>();
    private final Set<StepId> mAccepting = new HashSet<>();
    // Owner keys that this process has removed, until the watch shows it.
    private final Map<StepId, OwnerKey> mReleased = new HashMap<>();
    // Steps whose last results are stored, until the watch shows that they are done.
    private final Set<StepId> mDone = new HashSet<>();
    private final ResultWriter mWriter;
    private final SubmissionCache mSubmissions;
    private final StepLoader mLoader;
    private final ClaimedSteps mClaims;
    private final PredecessorTexts mPredecessors;
    private final ProvisionalRoutes mRoutes;
    private final boolean mCarriesTexts;
    private long mTickedAt;
    private boolean mDraining;

    StepOwnership(
            HostedContext context, StepStore store, StepMachine machine, RandomGenerator random) {
        mContext = context;
        mStore = store;
        mMachine = machine;
        mRandom = random;
        mCarriesTexts = context.policy().isEnabled(Mechanism.CARRIED_TEXTS);
        mSubmissions = new SubmissionCache(context.memory());
        mLoader = new StepLoader(context, store, mSubmissions);
        mClaims = new ClaimedSteps(context, store, mLoader, this);
        mPredecessors = new PredecessorTexts(context, store);
        mRoutes = new ProvisionalRoutes(context, machine::onRouteChanged);
        mWriter = new ResultWriter(context, store, machine, this);
    }

    /** Returns whether this entry needs its lease: it owns, accepts or claims a step. */
    boolean needsLease() {
        return !mOwned.isEmpty() || !mClaiming.isEmpty() || !mAccepting.isEmpty();
    }

    @Override
    public boolean owns(StepId id) {
        return mOwned.containsKey(id);
    }

    @Override
    public boolean isAuthoritative(StepId id) {
        OwnedStep owned = mOwned.get(id);
        // Under a later lease, another process may have owned the step in between.
        return owned != null
                && owned.mPending == null
                && owned.mOwnerKey.lease() == mContext.lease().id()
                && mContext.lease().isValid(System.nanoTime());
    }

    /** Returns the submissions that are kept for reads. */
    SubmissionCache submissions() {
        return mSubmissions;
    }

    int size() {
        return mOwned.size();
    }

    @Override
    public List<SampleResult> listedResults(StepId id) {
        List<SampleResult> listed = mMachine.listedResults(id);
        return listed == null ? List.of() : listed;
    }

    /** Returns a step that runs here; null if it does not. */
    @Nullable StepSpec ownedSpec(StepId id) {
        return mMachine.spec(id);
    }

    private void remove(StepId id) {
        OwnedStep owned = mOwned.remove(id);
        if (owned != null) {
            owned.releaseMemory();
            mRoutes.onEnded(id);
        }
    }

    /**
     * Accepts a step.
     *
     * @param submission the text of the submission, which is used until the callback is called
     * @param memory the claim of the samples' memory, which is retained if the step is accepted
     * @param callback receives true once the store has the step, false if it has a step of that ID
     *     of another workspace; otherwise a fault, whose outcome shows whether the store may still
     *     accept it
     */
    void accept(
            StepSpec spec,
            byte[] submission,
            MemoryClaim memory,
            Consumer<Result<Boolean>> callback,
            long now) {
        mContext.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                callback.accept(Result.err(noLease()));
                            } else {
                                accept(spec, submission, memory, lease, callback);
                            }
                        },
                        now);
    }

    private static Fault noLease() {
        return Fault.notRun(
                FaultCode.PLATFORM_UNAVAILABLE, "step.accept", "", "the entry has no valid lease");
    }

    private void accept(
            StepSpec spec,
            byte[] submission,
            MemoryClaim memory,
            long lease,
            Consumer<Result<Boolean>> callback) {
        long acceptedAt = System.currentTimeMillis();
        StepManifest manifest =
                new StepManifest(
                        spec.host(),
                        spec.prefix(),
                        spec.model(),
                        spec.number(),
                        spec.minVersion(),
                        spec.samples().size(),
                        submission.length,
                        spec.workspace(),
                        acceptedAt);
        mAccepting.add(spec.id());
        mStore.accept(spec.id(), manifest, submission, mContext.self().format(), lease)
                .thenAcceptAsync(
                        mContext.callback(
                                result ->
                                        onAccepted(
                                                spec, manifest, memory, lease, result, callback)),
                        mContext.executor());
    }

    private void onAccepted(
            StepSpec spec,
            StepManifest manifest,
            MemoryClaim memory,
            long lease,
            Result<CommitResult> result,
            Consumer<Result<Boolean>> callback) {
        mAccepting.remove(spec.id());
        boolean mayHaveRun = result.fold(commit -> false, fault -> !fault.isNotRun());
        if (mayHaveRun) {
            readBack(spec, result, callback);
            return;
        }
        Result<Boolean> outcome =
                result.flatMap(
                        commit -> {
                            if (commit.outcome() == CommitOutcome.LEASE_ENDED) {
                                return Result.err(noLease());
                            }
                            if (commit.isCommitted()) {
                                OwnerKey key = new OwnerKey(commit.revision(), lease);
                                OwnedStep owned = new OwnedStep(key, memory.retain());
                                begin(spec, manifest, owned);
                                return Result.ok(true);
                            }
                            return Result.ok(StepStore.isAccessible(commit.current(), spec));
                        });
        callback.accept(outcome);
    }

    /**
     * Reads whether a step was accepted after the response to the transaction was lost. If it was,
     * the watch will show its owner. If it was not, the transaction may still take effect, so the
     * outcome stays unknown.
     */
    private void readBack(
            StepSpec spec, Result<CommitResult> unknown, Consumer<Result<Boolean>> callback) {
        StepId id = spec.id();
        mStore.isAccepted(id, spec.workspace())
                .thenAcceptAsync(
                        mContext.callback(
                                result -> {
                                    boolean accepted = result.fold(found -> found, fault -> false);
                                    mContext.log()
                                            .write(
                                                    LogLine.of("step.readback")
                                                            .with("step", id)
                                                            .with("accepted", accepted));
                                    callback.accept(
                                            accepted
                                                    ? Result.ok(true)
                                                    : unknown.map(commit -> false));
                                }),
                        mContext.executor());
    }

    /** Begins to own an accepted step, which first waits for texts of an incomplete predecessor. */
    private void begin(StepSpec spec, StepManifest manifest, OwnedStep owned) {
        mContext.metrics().count(EntryMetrics.STEPS, "accepted");
        LogLine line =
                LogLine.of("step.owned")
                        .with("step", spec.id())
                        .with("samples", spec.samples().size())
                        .with("model", spec.model())
                        .with("bound", spec.minVersion())
                        .with("number", spec.number())
                        .with("fence", owned.mOwnerKey.revision());
        if (spec.workspace() != null) {
            line.with("workspace", spec.workspace());
        }
        mContext.log().write(line);
        remove(spec.id());
        mOwned.put(spec.id(), owned);
        StepId predecessor = mContext.directory().findIncompletePredecessor(manifest);
        if (predecessor == null || !mCarriesTexts) {
            run(spec, manifest, owned, List.of());
            return;
        }
        mPredecessors.load(
                predecessor,
                spec,
                currentRoute(manifest),
                texts -> run(spec, manifest, owned, texts));
        mContext.schedule(CARRY_WAIT_NANOS, () -> run(spec, manifest, owned, List.of()));
    }

    /** Returns the route that the configuration in force has for a step. */
    private Route currentRoute(StepManifest manifest) {
        return mContext.routeOf(manifest).orElseGet(manifest::closedRoute);
    }

    /** Runs an accepted step, unless it runs already or is no longer owned. */
    private void run(
            StepSpec spec,
            StepManifest manifest,
            OwnedStep owned,
            List<SampleCheckpoint> usableTexts) {
        if (isCurrent(spec.id(), owned) && !owned.mRunning) {
            owned.mRunning = true;
            Route route = currentRoute(manifest);
            mRoutes.onBegun(spec.id(), manifest, route);
            mMachine.onStepAcquired(spec, route, List.of(), usableTexts, 0, System.nanoTime());
        }
    }

    /** Stores results of a step; does nothing if it is no longer owned. */
    void append(StepId id, int position, List<SampleResult> results, boolean last) {
        OwnedStep owned = mOwned.get(id);
        if (owned != null) {
            mWriter.append(id, owned, position, results, last);
        }
    }

    @Override
    public boolean isCurrent(StepId id, OwnedStep owned) {
        return mOwned.get(id) == owned;
    }

    @Override
    public void onLastResultsStored(StepId id) {
        remove(id);
        mDone.add(id);
        mContext.metrics().count(EntryMetrics.STEPS, "done");
        mContext.log().write(LogLine.of("step.done").with("step", id));
    }

    @Override
    public void onOwnershipLost(StepId id, String why) {
        remove(id);
        mMachine.onOwnershipLost(id);
        mContext.metrics().count(EntryMetrics.STEPS, "lost");
        mContext.log().write(LogLine.of("step.lost").with("step", id).with("why", why));
    }

    /** Handles the status of a step as the watch shows it. */
    void onStatusChange(StepId id, @Nullable StepStatus status) {
        if (status == null) {
            return;
        }
        OwnedStep owned = mOwned.get(id);
        if (status.mEnded && owned != null) {
            remove(id);
            List<SampleCheckpoint> texts = mMachine.onStepEnded(id);
            if (mCarriesTexts) {
                mWriter.storeCheckpoint(id, owned, texts);
            }
            mContext.log()
                    .write(
                            LogLine.of("step.ended")
                                    .with("step", id)
                                    .with("unlisted", texts.size()));
            return;
        }
        if (owned == null || owned.storesLastResults()) {
            // The response to the last results tells who has finished the step.
            return;
        }
        if (status.isTakenFrom(mContext.self(), owned.mOwnerKey)) {
            onOwnershipLost(id, status.mDone ? "it is done" : "owned by " + status.mOwner);
        }
    }

    /**
     * Retries failed store calls and, unless the entry drains, claims steps.
     *
     * @param ownedOrClaimable the open steps that this process owns or may claim
     */
    void onTick(List<StepId> ownedOrClaimable, long now) {
        mTickedAt = now;
        mOwned.forEach((id, owned) -> mWriter.onTick(id, owned, now));
        mRoutes.onTick(now);
        if (mDraining) {
            return;
        }
        Set<StepId> open = new HashSet<>(ownedOrClaimable);
        mClaimAt.keySet().retainAll(open);
        mDone.retainAll(open);
        mReleased.keySet().retainAll(open);
        for (StepId id : ownedOrClaimable) {
            StepStatus status = mContext.directory().get(id);
            if (status != null) {
                ensureOwned(id, status, now);
            }
        }
    }

    private void ensureOwned(StepId id, StepStatus status, long now) {
        boolean ownerHere = mContext.self().format().equals(status.mOwner);
        boolean busy = mClaiming.contains(id) || mAccepting.contains(id) || mDone.contains(id);
        OwnedStep owned = mOwned.get(id);
        if (owned != null) {
            // Results on their way are stored with a claim of their own.
            if (status.mOwner == null && owned.mPending == null) {
                reclaim(id, owned);
            }
        } else if (ownerHere && isReleased(id, status.mOwnerKey)) {
            // The watch has not shown yet that the key is gone.
            return;
        } else if (ownerHere && !busy) {
            // The response to this process's claim was lost, but the claim took effect.
            mClaiming.add(id);
            mClaims.load(id, status.mOwnerKey);
        } else if (!busy) {
            claimWhenDue(id, now);
        }
    }

    private boolean isReleased(StepId id, OwnerKey key) {
        OwnerKey released = mReleased.get(id);
        return released != null && key.revision() <= released.revision();
    }

    /**
     * Claims an owned step again after its owner key has expired with the lease, unless another
     * process has listed results of it since.
     */
    private void reclaim(StepId id, OwnedStep owned) {
        if (!mClaiming.add(id)) {
            return;
        }
        int listed = listedResults(id).size();
        mContext.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                mClaiming.remove(id);
                                return;
                            }
                            mStore.reclaim(id, listed, mContext.self().format(), lease)
                                    .thenAcceptAsync(
                                            mContext.callback(
                                                    result ->
                                                            onReclaimed(
                                                                    id, owned, listed, lease,
                                                                    result)),
                                            mContext.executor());
                        },
                        System.nanoTime());
    }

    private void onReclaimed(
            StepId id, OwnedStep owned, int listed, long lease, Result<CommitResult> result) {
        mClaiming.remove(id);
        if (!isCurrent(id, owned)) {
            return;
        }
        result.map(
                commit -> {
                    OwnerKey key = mContext.ownKey(commit, id, lease);
                    boolean outdated =
                            owned.mPending == null
                                    && listedResults(id).size() == listed
                                    && StepStore.hasResultsAt(commit, id, listed);
                    if (outdated) {
                        onOwnershipLost(id, "another process has listed results");
                    } else if (key != null) {
                        owned.mOwnerKey = owned.mOwnerKey.newer(key);
                    }
                    return commit;
                });
    }

    /**
     * Claims a step once its delay has passed. A step of an earlier process of this VM is claimed
     * without delay, since no other entry may claim it.
     */
    private void claimWhenDue(StepId id, long now) {
        if (!mContext.hasConfiguration()) {
            return;
        }
        Long due = mClaimAt.get(id);
        StepStatus status = mContext.directory().get(id);
        boolean ownedByEarlierProcess = status != null && status.mOwner != null;
        if (due == null && !ownedByEarlierProcess) {
            long sinceOutage = mContext.storeHealth().nanosSinceOutage(now);
            double random = mRandom.nextDouble();
            mClaimAt.put(id, now + ClaimDelay.nanos(mOwned.size(), sinceOutage, random));
            return;
        }
        if (due != null && now - due < 0) {
            return;
        }
        mClaimAt.put(id, now + RETRY_NANOS * 2);
        if (status != null && status.mManifest != null && !mLoader.makeRoom(status.mManifest)) {
            return;
        }
        mClaiming.add(id);
        mContext.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                mClaiming.remove(id);
                            } else {
                                claim(id, lease);
                            }
                        },
                        now);
    }

    private void claim(StepId id, long lease) {
        StepStatus status = mContext.directory().get(id);
        OptionalLong replacedRevision =
                status == null
                        ? OptionalLong.empty()
                        : mContext.self()
                                .expectedRevision(status.mOwner, status.mOwnerKey.revision());
        if (replacedRevision.isEmpty()) {
            mClaiming.remove(id);
            return;
        }
        mStore.claim(id, replacedRevision.getAsLong(), mContext.self().format(), lease)
                .thenAcceptAsync(
                        mContext.callback(result -> onClaimed(id, lease, result)),
                        mContext.executor());
    }

    private void onClaimed(StepId id, long lease, Result<CommitResult> result) {
        OwnerKey key = result.fold(commit -> mContext.ownKey(commit, id, lease), fault -> null);
        if (key == null) {
            mClaiming.remove(id);
        } else {
            mClaims.load(id, key);
        }
    }

    @Override
    public boolean isStopping() {
        return mDraining;
    }

    @Override
    public void onLoaded(StepId id, LoadedStep loaded, OwnerKey key) {
        mClaiming.remove(id);
        adopt(id, loaded, key);
    }

    @Override
    public void onTaken(StepId id) {
        mClaiming.remove(id);
    }

    @Override
    public void onReleased(StepId id, OwnerKey key) {
        mClaiming.remove(id);
        mReleased.put(id, key);
        mClaimAt.put(id, mTickedAt + RELEASED_NANOS);
    }

    /** Begins to own a claimed step, with the results and checkpoint that the store has. */
    private void adopt(StepId id, LoadedStep loaded, OwnerKey key) {
        StepStatus status = mContext.directory().get(id);
        StepManifest manifest = status == null ? null : status.mManifest;
        StepSpec spec = loaded.spec();
        // If every sample is listed already, the watch has not shown the done marker yet.
        boolean listed = loaded.results().size() >= spec.samples().size();
        boolean taken = status == null || status.isTakenFrom(mContext.self(), key);
        if (manifest == null || taken || mDraining || listed) {
            loaded.memory().release();
            if (mDraining) {
                mClaims.release(id, key, "the entry stops");
            }
            return;
        }
        Route route = currentRoute(manifest);
        mRoutes.onBegun(id, manifest, route);
        long age = System.currentTimeMillis() - manifest.acceptedAt();
        OwnedStep owned = new OwnedStep(key, loaded.memory());
        owned.mRunning = true;
        remove(id);
        mOwned.put(id, owned);
        mContext.metrics().count(EntryMetrics.STEPS, "taken");
        mContext.log()
                .write(
                        LogLine.of("step.taken")
                                .with("step", id)
                                .with("listed", loaded.results().size())
                                .with("partial", loaded.checkpoints().size())
                                .with("age_ms", age)
                                .with("fence", key.revision()));
        mMachine.onStepAcquired(
                spec, route, loaded.results(), loaded.checkpoints(), age, System.nanoTime());
    }

    /** Begins a graceful stop: claims no more steps. */
    void onDrain() {
        mDraining = true;
    }

    /** Hands over all owned steps with checkpoints, except steps whose results are being stored. */
    void handOver() {
        for (StepId id : new ArrayList<>(mOwned.keySet())) {
            OwnedStep owned = mOwned.get(id);
            if (owned == null || owned.mPending != null) {
                continue;
            }
            remove(id);
            mContext.log().write(LogLine.of("step.handover").with("step", id));
            mStore.release(id, owned.mOwnerKey.revision(), mMachine.handOver(id));
        }
    }
}
