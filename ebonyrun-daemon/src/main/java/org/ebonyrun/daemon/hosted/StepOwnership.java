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
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.route.WeightedService;
import org.ebonyrun.core.step.CarriedTexts;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Which steps this entry owns: accepts new ones, takes those whose owner is gone, and hands over.
 *
 * <p>Invariant: a step is owned here only if the store has, or had, an owner's key that this
 * process wrote; of two processes that believe they own a step, the store lets one list results.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class StepOwnership implements ResultWriter.Ownership, ResultReader.Ownership {
    private static final long RETRY_NANOS = Nanos.ofMillis(150);
    // Entries that own less take an orphan sooner.
    private static final long CLAIM_BASE_NANOS = Nanos.ofMillis(20);
    private static final long CLAIM_PER_STEP_NANOS = Nanos.ofMillis(60);
    private static final long CLAIM_JITTER_NANOS = Nanos.ofMillis(40);
    // How long a new step waits for texts of the step before it.
    private static final long CARRY_WAIT_NANOS = Nanos.ofMillis(150);

    private final HostedContext mParts;
    private final StepStore mStore;
    private final StepMachine mMachine;
    private final RandomGenerator mRandom;
    private final Map<StepId, OwnedStep> mOwned = new HashMap<>();
    private final Map<StepId, Long> mClaimAt = new HashMap<>();
    private final Set<StepId> mClaiming = new HashSet<>();
    private final Set<StepId> mAccepting = new HashSet<>();
    private final Set<StepId> mOver = new HashSet<>();
    private final ResultWriter mWriter;
    private final boolean mCarries;
    private boolean mDraining;

    StepOwnership(
            HostedContext parts, StepStore store, StepMachine machine, RandomGenerator random) {
        mParts = parts;
        mStore = store;
        mMachine = machine;
        mRandom = random;
        mCarries = parts.policy().isEnabled(Mechanism.CARRIED_TEXTS);
        mWriter = new ResultWriter(parts, store, machine, this);
    }

    /** Returns whether this entry owns a step or is about to. */
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
        boolean stored = owned != null && owned.mPending == null;
        return stored && mParts.lease().isValid(System.nanoTime());
    }

    int size() {
        return mOwned.size();
    }

    @Override
    public List<SampleResult> listedResults(StepId id) {
        List<SampleResult> listed = mMachine.listedResults(id);
        return listed == null ? List.of() : listed;
    }

    /**
     * Accepts a step.
     *
     * @param answer hears whether the store has the step now, or why not
     */
    void accept(
            StepSpec spec,
            Route route,
            byte[] submission,
            Consumer<Result<Boolean>> answer,
            long now) {
        mParts.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                answer.accept(Result.err(noLease()));
                            } else {
                                accept(spec, route, submission, lease, answer);
                            }
                        },
                        now);
    }

    private static Fault noLease() {
        return Fault.notRun(
                FaultCode.PLATFORM_UNAVAILABLE, "step.accept", "", "no lease can be had");
    }

    private void accept(
            StepSpec spec,
            Route route,
            byte[] submission,
            long lease,
            Consumer<Result<Boolean>> answer) {
        long acceptedAt = System.currentTimeMillis();
        StepManifest manifest =
                new StepManifest(
                        spec.host(),
                        spec.prefix(),
                        spec.model(),
                        spec.number(),
                        spec.minVersion(),
                        spec.samples().size(),
                        acceptedAt);
        mAccepting.add(spec.id());
        mStore.accept(spec.id(), manifest, submission, mParts.self().format(), lease)
                .thenAcceptAsync(
                        result -> onAccepted(spec, manifest, route, result, answer),
                        mParts.executor());
    }

    private void onAccepted(
            StepSpec spec,
            StepManifest manifest,
            Route route,
            Result<CommitResult> result,
            Consumer<Result<Boolean>> answer) {
        mAccepting.remove(spec.id());
        boolean unknown = result.fold(commit -> false, fault -> !fault.isNotRun());
        if (unknown) {
            readBack(spec.id(), result, answer);
            return;
        }
        Result<Boolean> outcome =
                result.flatMap(
                        commit -> {
                            if (commit.outcome() == CommitOutcome.LEASE_ENDED) {
                                return Result.err(noLease());
                            }
                            if (commit.isCommitted()) {
                                begin(spec, manifest, route, commit.revision());
                            }
                            return Result.ok(true);
                        });
        answer.accept(outcome);
    }

    /**
     * Looks whether a step was accepted although the answer was lost. If it was, the watch tells
     * who owns it; if it was not, it may still be, so the outcome stays unknown.
     */
    private void readBack(StepId id, Result<CommitResult> lost, Consumer<Result<Boolean>> answer) {
        mStore.isAccepted(id)
                .thenAcceptAsync(
                        result -> {
                            boolean accepted = result.fold(found -> found, fault -> false);
                            mParts.log()
                                    .write(
                                            LogLine.of("step.readback")
                                                    .with("step", id)
                                                    .with("accepted", accepted));
                            answer.accept(accepted ? Result.ok(true) : lost.map(commit -> false));
                        },
                        mParts.executor());
    }

    private void begin(StepSpec spec, StepManifest manifest, Route route, long revision) {
        mParts.metrics().count(EntryMetrics.STEPS, "accepted");
        mParts.log()
                .write(
                        LogLine.of("step.owned")
                                .with("step", spec.id())
                                .with("samples", spec.samples().size())
                                .with("model", spec.model())
                                .with("bound", spec.minVersion())
                                .with("number", spec.number())
                                .with("fence", revision));
        OwnedStep owned = new OwnedStep(revision);
        mOwned.put(spec.id(), owned);
        StepId before = mParts.directory().findUnfinishedPredecessor(manifest);
        if (before == null || !mCarries) {
            run(spec, route, owned, List.of());
            return;
        }
        mStore.load(before)
                .thenAcceptAsync(
                        result -> run(spec, route, owned, carried(spec, route, before, result)),
                        mParts.executor());
        mParts.schedule(CARRY_WAIT_NANOS, () -> run(spec, route, owned, List.of()));
    }

    /** Returns what the step before left for a step. A failure costs no more than a rerun. */
    private List<SampleCheckpoint> carried(
            StepSpec spec, Route route, StepId before, Result<StoredStep> result) {
        return result.fold(
                stored -> {
                    List<SampleCheckpoint> texts =
                            CarriedTexts.selectUsable(
                                    spec,
                                    route.step().singleVersion(),
                                    stored.results(),
                                    stored.checkpoints());
                    mParts.log()
                            .write(
                                    LogLine.of("step.carried")
                                            .with("step", spec.id())
                                            .with("before", before)
                                            .with("listed", stored.results().size())
                                            .with("partial", stored.checkpoints().size())
                                            .with("used", texts.size()));
                    return texts;
                },
                fault -> {
                    mParts.log()
                            .write(
                                    LogLine.of("step.carried.unread")
                                            .with("step", spec.id())
                                            .with("before", before)
                                            .with("why", fault.detail()));
                    return List.of();
                });
    }

    /** Runs an accepted step, unless it runs or is no longer owned. */
    private void run(StepSpec spec, Route route, OwnedStep owned, List<SampleCheckpoint> carried) {
        if (isCurrent(spec.id(), owned) && !owned.mRunning) {
            owned.mRunning = true;
            mMachine.onStepAcquired(spec, route, List.of(), carried, 0, System.nanoTime());
        }
    }

    /** Stores results. */
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
        mOwned.remove(id);
        mOver.add(id);
        mParts.metrics().count(EntryMetrics.STEPS, "done");
        mParts.log().write(LogLine.of("step.done").with("step", id));
    }

    @Override
    public void onOwnershipLost(StepId id, String why) {
        mOwned.remove(id);
        mMachine.onOwnershipLost(id);
        mParts.metrics().count(EntryMetrics.STEPS, "lost");
        mParts.log().write(LogLine.of("step.lost").with("step", id).with("why", why));
    }

    /** Takes in what the watch says of a step. */
    void onStatusChange(StepId id, @Nullable StepStatus known) {
        if (known == null) {
            return;
        }
        OwnedStep owned = mOwned.get(id);
        if (known.mEnded && owned != null) {
            mOwned.remove(id);
            List<SampleCheckpoint> texts = mMachine.onStepEnded(id);
            if (mCarries) {
                mWriter.storeCheckpoint(id, owned, texts);
            }
            mParts.log()
                    .write(
                            LogLine.of("step.ended")
                                    .with("step", id)
                                    .with("unlisted", texts.size()));
            return;
        }
        boolean other =
                owned != null
                        && known.mOwner != null
                        && !known.mOwner.equals(mParts.self().format())
                        && known.mOwnerRevision > owned.mOwnerRevision;
        if (other) {
            onOwnershipLost(id, "owned by " + known.mOwner);
        }
    }

    /** Retries what the store did not answer and takes steps that nobody owns. */
    void onTick(List<StepId> concerning, long now) {
        mOwned.forEach((id, owned) -> mWriter.onTick(id, owned, now));
        if (mDraining) {
            return;
        }
        Set<StepId> open = new HashSet<>(concerning);
        mClaimAt.keySet().retainAll(open);
        mOver.retainAll(open);
        for (StepId id : concerning) {
            StepStatus known = mParts.directory().get(id);
            if (known != null) {
                seeTo(id, known, now);
            }
        }
    }

    private void seeTo(StepId id, StepStatus known, long now) {
        boolean named = mParts.self().format().equals(known.mOwner);
        boolean busy = mClaiming.contains(id) || mAccepting.contains(id) || mOver.contains(id);
        if (mOwned.containsKey(id)) {
            if (known.mOwner == null) {
                reclaimOwn(id);
            }
        } else if (named && !busy) {
            // A lost answer hid that this process took the step.
            mClaiming.add(id);
            load(id, known.mOwnerRevision);
        } else if (!busy) {
            claimWhenDue(id, now);
        }
    }

    /** Renews the ownership of a step whose owner's key lapsed with the lease. */
    private void reclaimOwn(StepId id) {
        if (!mClaiming.add(id)) {
            return;
        }
        mParts.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                mClaiming.remove(id);
                                return;
                            }
                            mStore.claim(id, Transaction.ABSENT, mParts.self().format(), lease)
                                    .thenAcceptAsync(
                                            result -> onReclaimed(id, result), mParts.executor());
                        },
                        System.nanoTime());
    }

    private void onReclaimed(StepId id, Result<CommitResult> result) {
        mClaiming.remove(id);
        OwnedStep owned = mOwned.get(id);
        if (owned == null) {
            return;
        }
        result.map(
                commit -> {
                    long revision =
                            commit.isCommitted()
                                    ? commit.revision()
                                    : mParts.ownRevision(commit, id);
                    if (revision != 0) {
                        owned.mOwnerRevision = Math.max(owned.mOwnerRevision, revision);
                    }
                    return commit;
                });
    }

    private void claimWhenDue(StepId id, long now) {
        if (!mParts.hasConfiguration()) {
            return;
        }
        Long due = mClaimAt.get(id);
        StepStatus known = mParts.directory().get(id);
        boolean inherited = known != null && known.mOwner != null;
        if (due == null && !inherited) {
            long delay = CLAIM_BASE_NANOS + CLAIM_PER_STEP_NANOS * mOwned.size();
            mClaimAt.put(id, now + delay + mRandom.nextLong(CLAIM_JITTER_NANOS));
            return;
        }
        if (due != null && now - due < 0) {
            return;
        }
        mClaimAt.put(id, now + RETRY_NANOS * 2);
        mClaiming.add(id);
        mParts.lease()
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
        StepStatus known = mParts.directory().get(id);
        OptionalLong replaced =
                known == null
                        ? OptionalLong.empty()
                        : mParts.self().expectedRevision(known.mOwner, known.mOwnerRevision);
        if (replaced.isEmpty()) {
            mClaiming.remove(id);
            return;
        }
        mStore.claim(id, replaced.getAsLong(), mParts.self().format(), lease)
                .thenAcceptAsync(
                        result -> {
                            long revision =
                                    result.fold(
                                            commit ->
                                                    commit.isCommitted()
                                                            ? commit.revision()
                                                            : mParts.ownRevision(commit, id),
                                            fault -> 0L);
                            if (revision == 0) {
                                mClaiming.remove(id);
                            } else {
                                load(id, revision);
                            }
                        },
                        mParts.executor());
    }

    private void load(StepId id, long revision) {
        mStore.load(id)
                .thenAcceptAsync(
                        result ->
                                result.fold(
                                        stored -> {
                                            onLoaded(id, stored, revision);
                                            return true;
                                        },
                                        fault -> {
                                            loadLater(id, revision, fault.detail());
                                            return false;
                                        }),
                        mParts.executor());
    }

    private void loadLater(StepId id, long revision, String why) {
        mParts.log().write(LogLine.of("step.unloaded").with("step", id).with("why", why));
        mParts.schedule(RETRY_NANOS, () -> load(id, revision));
    }

    /** Adopts a step once its route is known, or it is certain that the route was removed. */
    private void onLoaded(StepId id, StoredStep stored, long revision) {
        StepStatus known = mParts.directory().get(id);
        StepManifest manifest = known == null ? null : known.mManifest;
        if (manifest == null || mParts.routeOf(manifest).isPresent()) {
            adopt(id, stored, revision);
            mClaiming.remove(id);
            return;
        }
        mParts.refreshRoutes(
                refreshed -> {
                    if (refreshed) {
                        adopt(id, stored, revision);
                        mClaiming.remove(id);
                    } else {
                        loadLater(id, revision, "the configuration can't be read");
                    }
                });
    }

    /** Returns a route without endpoints, for steps whose route was removed. */
    private static Route closedRoute(StepManifest manifest) {
        return new Route(
                "closed",
                manifest.host(),
                manifest.prefix(),
                RouteKind.STEPS,
                List.of(new WeightedService(ServiceName.of("closed"), 1)),
                new CallOptions(1, 1, 1, 0),
                StepOptions.NONE);
    }

    private void adopt(StepId id, StoredStep stored, long revision) {
        StepStatus known = mParts.directory().get(id);
        StepManifest manifest = known == null ? null : known.mManifest;
        if (manifest == null || known.mEnded || mDraining) {
            return;
        }
        StepSpec spec;
        try {
            spec = StepDecoder.decode(id, manifest.host(), manifest.prefix(), stored.submission());
        } catch (IllegalArgumentException e) {
            mParts.log()
                    .write(
                            LogLine.of("step.unreadable")
                                    .with("step", id)
                                    .with("why", e.getMessage()));
            return;
        }
        if (stored.results().size() >= spec.samples().size()) {
            // It was finished before; the key that says so is on its way here.
            return;
        }
        Route route = mParts.routeOf(manifest).orElseGet(() -> closedRoute(manifest));
        long age = System.currentTimeMillis() - manifest.acceptedAt();
        OwnedStep owned = new OwnedStep(revision);
        owned.mRunning = true;
        mOwned.put(id, owned);
        mParts.metrics().count(EntryMetrics.STEPS, "taken");
        mParts.log()
                .write(
                        LogLine.of("step.taken")
                                .with("step", id)
                                .with("listed", stored.results().size())
                                .with("partial", stored.checkpoints().size())
                                .with("age_ms", age)
                                .with("fence", revision));
        mMachine.onStepAcquired(
                spec, route, stored.results(), stored.checkpoints(), age, System.nanoTime());
    }

    /** Begins a graceful stop: takes no more steps. */
    void onDrain() {
        mDraining = true;
    }

    /** Hands all steps over, with the text that they have. */
    void handOver() {
        for (StepId id : new ArrayList<>(mOwned.keySet())) {
            OwnedStep owned = mOwned.get(id);
            if (owned == null || owned.mPending != null) {
                continue;
            }
            mOwned.remove(id);
            mParts.log().write(LogLine.of("step.handover").with("step", id));
            mStore.release(id, owned.mOwnerRevision, mMachine.handOver(id));
        }
    }
}
