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
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.PartialText;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.ports.store.Commit;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Which steps this entry owns: accepts new ones, takes those whose owner is gone, stores results
 * under the ownership, and hands over.
 *
 * <p>Invariants: results are stored only by a transaction that expects the owner's key as this
 * entry wrote it; a transaction whose outcome is unknown is repeated unchanged until the store
 * tells.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class StepOwner {
    private static final long RETRY_NANOS = Nanos.ofMillis(150);
    // Entries that own less take an orphan sooner.
    private static final long CLAIM_BASE_NANOS = Nanos.ofMillis(20);
    private static final long CLAIM_PER_STEP_NANOS = Nanos.ofMillis(60);
    private static final long CLAIM_JITTER_NANOS = Nanos.ofMillis(40);

    // How often texts of unfinished samples are kept, and how long they must be. A lost owner then
    // costs a long sample at most this time and the events of its last moments.
    private static final long CHECKPOINT_NANOS = Nanos.ofMillis(600);
    private static final int CHECKPOINT_EVENTS = 12;
    private static final int CHECKPOINT_BYTES = 400_000;
    private static final byte[] NOTHING = new byte[0];

    /** A step that this entry owns. */
    private static final class Owned {
        final Route mRoute;
        long mRevision;
        @Nullable Append mAppend;
        long mCheckpointAt = System.nanoTime();

        Owned(Route route, long revision) {
            mRoute = route;
            mRevision = revision;
        }
    }

    /** Results that are being stored. */
    private static final class Append {
        final int mPosition;
        final byte[] mValue;
        final byte[] mPartial;
        final boolean mLast;
        boolean mCalling;
        boolean mClaim;
        long mRetryAt;

        Append(int position, byte[] value, byte[] partial, boolean last) {
            mPosition = position;
            mValue = value;
            mPartial = partial;
            mLast = last;
        }
    }

    private final EntryParts mParts;
    private final StepStore mStore;
    private final StepMachine mMachine;
    private final RandomGenerator mRandom;
    private final Map<StepId, Owned> mOwned = new HashMap<>();
    private final Map<StepId, Long> mClaimAt = new HashMap<>();
    private final Set<StepId> mClaiming = new HashSet<>();
    private final Set<StepId> mAccepting = new HashSet<>();
    private final Set<StepId> mOver = new HashSet<>();
    private boolean mDraining;

    StepOwner(EntryParts parts, StepStore store, StepMachine machine, RandomGenerator random) {
        mParts = parts;
        mStore = store;
        mMachine = machine;
        mRandom = random;
    }

    /** Returns whether this entry owns a step or is about to. */
    boolean isNeeded() {
        return !mOwned.isEmpty() || !mClaiming.isEmpty() || !mAccepting.isEmpty();
    }

    boolean owns(StepId id) {
        return mOwned.containsKey(id);
    }

    int size() {
        return mOwned.size();
    }

    /** Returns the results that are listed of an owned step. */
    List<SampleResult> listed(StepId id) {
        List<SampleResult> listed = mMachine.listed(id);
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
                .with(
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
                org.ebonyrun.base.result.FaultCode.PLATFORM_UNAVAILABLE,
                "step.accept",
                "",
                "no lease can be had");
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
        mStore.accept(spec.id(), manifest, submission, mParts.self().text(), lease)
                .thenAcceptAsync(
                        result -> onAccepted(spec, route, result, answer), mParts.executor());
    }

    private void onAccepted(
            StepSpec spec, Route route, Result<Commit> result, Consumer<Result<Boolean>> answer) {
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
                                begin(spec, route, commit.revision(), 0);
                            }
                            return Result.ok(true);
                        });
        answer.accept(outcome);
    }

    /**
     * Looks whether a step was accepted although the answer was lost. If it was, the watch tells
     * who owns it; if it was not, it may still be, so the outcome stays unknown.
     */
    private void readBack(StepId id, Result<Commit> lost, Consumer<Result<Boolean>> answer) {
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

    private void begin(StepSpec spec, Route route, long revision, long ageMillis) {
        mParts.log()
                .write(
                        LogLine.of("step.owned")
                                .with("step", spec.id())
                                .with("samples", spec.samples().size())
                                .with("model", spec.model())
                                .with("bound", spec.minVersion())
                                .with("number", spec.number())
                                .with("fence", revision));
        mOwned.put(spec.id(), new Owned(route, revision));
        mMachine.onOwned(spec, route, List.of(), List.of(), ageMillis, System.nanoTime());
    }

    /** Stores results. */
    void append(StepId id, int position, List<SampleResult> results, boolean last) {
        Owned owned = mOwned.get(id);
        if (owned == null) {
            return;
        }
        byte[] partial = last ? NOTHING : partialWhenDue(id, owned, System.nanoTime());
        owned.mAppend = new Append(position, StepCodec.results(results), partial, last);
        send(id, owned);
    }

    /** Returns the texts to keep now; empty if it is too soon or there are none worth it. */
    private byte[] partialWhenDue(StepId id, Owned owned, long now) {
        if (now - owned.mCheckpointAt < CHECKPOINT_NANOS) {
            return NOTHING;
        }
        owned.mCheckpointAt = now;
        List<PartialText> texts = mMachine.unfinished(id, CHECKPOINT_EVENTS);
        if (texts.isEmpty()) {
            return NOTHING;
        }
        byte[] partial = StepCodec.partial(texts);
        return partial.length > CHECKPOINT_BYTES ? NOTHING : partial;
    }

    /**
     * Keeps texts of a step that lists nothing for a while. A failure costs no more than a rerun.
     */
    private void checkpoint(StepId id, Owned owned, long now) {
        byte[] partial = partialWhenDue(id, owned, now);
        if (partial.length > 0) {
            mStore.checkpoint(id, owned.mRevision, partial)
                    .thenAcceptAsync(
                            result ->
                                    result.fold(
                                            commit -> commit,
                                            fault -> {
                                                mParts.log()
                                                        .write(
                                                                LogLine.of("step.uncheckpointed")
                                                                        .with("step", id)
                                                                        .with(
                                                                                "why",
                                                                                fault.detail()));
                                                return null;
                                            }),
                            mParts.executor());
        }
    }

    private void send(StepId id, Owned owned) {
        Append append = owned.mAppend;
        if (append == null) {
            return;
        }
        append.mCalling = true;
        if (append.mClaim) {
            claimAgain(id, owned, append);
            return;
        }
        mStore.append(
                        id,
                        owned.mRevision,
                        append.mPosition,
                        append.mValue,
                        append.mPartial,
                        append.mLast)
                .thenAcceptAsync(
                        result -> onAppended(id, owned, append, result), mParts.executor());
    }

    private void onAppended(StepId id, Owned owned, Append append, Result<Commit> result) {
        append.mCalling = false;
        if (mOwned.get(id) != owned) {
            return;
        }
        result.fold(
                commit -> {
                    if (commit.isCommitted() || holds(commit, id, append)) {
                        onStored(id, owned, append);
                    } else if (ownerChanged(commit, id, owned)) {
                        lose(id, "another entry owns the step");
                    } else {
                        append.mClaim = true;
                        send(id, owned);
                    }
                    return commit;
                },
                fault -> {
                    append.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    mParts.log()
                            .write(
                                    LogLine.of("step.store.retry")
                                            .with("step", id)
                                            .with("position", append.mPosition)
                                            .with("fault", fault.detail()));
                    return null;
                });
    }

    private void onStored(StepId id, Owned owned, Append append) {
        owned.mAppend = null;
        mMachine.onStored(id, System.nanoTime());
        if (append.mLast) {
            mOwned.remove(id);
            mOver.add(id);
            mParts.log().write(LogLine.of("step.done").with("step", id));
        }
    }

    /** Returns whether the conflict shows that the same results were stored before. */
    private static boolean holds(Commit commit, StepId id, Append append) {
        String key = StepKeys.result(id, append.mPosition);
        for (StoreItem item : commit.current()) {
            if (item.key().equals(key) && java.util.Arrays.equals(item.value(), append.mValue)) {
                return true;
            }
        }
        return false;
    }

    private boolean ownerChanged(Commit commit, StepId id, Owned owned) {
        String key = StepKeys.live(id, StepKeys.OWNER);
        String resultKey = StepKeys.result(id, owned.mAppend == null ? 0 : owned.mAppend.mPosition);
        for (StoreItem item : commit.current()) {
            boolean other = item.key().equals(key) && item.revision() != owned.mRevision;
            if (other || item.key().equals(resultKey)) {
                return true;
            }
        }
        return false;
    }

    private void claimAgain(StepId id, Owned owned, Append append) {
        mParts.lease()
                .with(
                        lease -> {
                            if (lease == 0) {
                                append.mCalling = false;
                                append.mRetryAt = System.nanoTime() + RETRY_NANOS;
                                return;
                            }
                            mStore.claim(id, Transaction.ABSENT, mParts.self().text(), lease)
                                    .thenAcceptAsync(
                                            result -> onClaimedAgain(id, owned, append, result),
                                            mParts.executor());
                        },
                        System.nanoTime());
    }

    private void onClaimedAgain(StepId id, Owned owned, Append append, Result<Commit> result) {
        append.mCalling = false;
        if (mOwned.get(id) != owned) {
            return;
        }
        result.fold(
                commit -> {
                    if (commit.isCommitted()) {
                        owned.mRevision = commit.revision();
                        append.mClaim = false;
                        send(id, owned);
                    } else if (ownRevision(commit, id) != 0) {
                        owned.mRevision = ownRevision(commit, id);
                        append.mClaim = false;
                        send(id, owned);
                    } else if (commit.outcome() == CommitOutcome.LEASE_ENDED) {
                        append.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    } else {
                        lose(id, "another entry owns the step, or it is over");
                    }
                    return commit;
                },
                fault -> {
                    append.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    return null;
                });
    }

    /** Returns the revision of the owner's key if it is this process's; zero if not. */
    private long ownRevision(Commit commit, StepId id) {
        String key = StepKeys.live(id, StepKeys.OWNER);
        for (StoreItem item : commit.current()) {
            if (item.key().equals(key) && item.text().equals(mParts.self().text())) {
                return item.revision();
            }
        }
        return 0;
    }

    private void lose(StepId id, String why) {
        mOwned.remove(id);
        mMachine.onLost(id);
        mParts.log().write(LogLine.of("step.lost").with("step", id).with("why", why));
    }

    /** Takes in what the watch says of a step. */
    void onKnown(StepId id, @Nullable KnownStep known) {
        if (known == null) {
            return;
        }
        if (known.mEnded && mOwned.remove(id) != null) {
            mMachine.onEnded(id);
            mParts.log().write(LogLine.of("step.ended").with("step", id));
        }
        Owned owned = mOwned.get(id);
        boolean other =
                owned != null
                        && known.mOwner != null
                        && !known.mOwner.equals(mParts.self().text())
                        && known.mOwnerRevision > owned.mRevision;
        if (other) {
            lose(id, "owned by " + known.mOwner);
        }
    }

    /** Retries what the store did not answer and takes steps that nobody owns. */
    void onTick(List<StepId> concerning, long now) {
        mOwned.forEach(
                (id, owned) -> {
                    Append append = owned.mAppend;
                    if (append == null && !mParts.isStoreAway()) {
                        checkpoint(id, owned, now);
                    } else if (append != null && !append.mCalling && now - append.mRetryAt >= 0) {
                        send(id, owned);
                    }
                });
        if (mDraining) {
            return;
        }
        Set<StepId> open = new HashSet<>(concerning);
        mClaimAt.keySet().retainAll(open);
        mOver.retainAll(open);
        for (StepId id : concerning) {
            KnownStep known = mParts.directory().get(id);
            if (known != null) {
                seeTo(id, known, now);
            }
        }
    }

    private void seeTo(StepId id, KnownStep known, long now) {
        boolean named = mParts.self().text().equals(known.mOwner);
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
                .with(
                        lease -> {
                            if (lease == 0) {
                                mClaiming.remove(id);
                                return;
                            }
                            mStore.claim(id, Transaction.ABSENT, mParts.self().text(), lease)
                                    .thenAcceptAsync(
                                            result -> onReclaimed(id, result), mParts.executor());
                        },
                        System.nanoTime());
    }

    private void onReclaimed(StepId id, Result<Commit> result) {
        mClaiming.remove(id);
        Owned owned = mOwned.get(id);
        if (owned == null) {
            return;
        }
        result.map(
                commit -> {
                    long revision =
                            commit.isCommitted() ? commit.revision() : ownRevision(commit, id);
                    if (revision != 0) {
                        owned.mRevision = Math.max(owned.mRevision, revision);
                    }
                    return commit;
                });
    }

    private void claimWhenDue(StepId id, long now) {
        Long due = mClaimAt.get(id);
        KnownStep known = mParts.directory().get(id);
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
                .with(
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
        KnownStep known = mParts.directory().get(id);
        OptionalLong replaced =
                known == null
                        ? OptionalLong.empty()
                        : mParts.self().takes(known.mOwner, known.mOwnerRevision);
        if (replaced.isEmpty()) {
            mClaiming.remove(id);
            return;
        }
        mStore.claim(id, replaced.getAsLong(), mParts.self().text(), lease)
                .thenAcceptAsync(
                        result -> {
                            long revision =
                                    result.fold(
                                            commit ->
                                                    commit.isCommitted()
                                                            ? commit.revision()
                                                            : ownRevision(commit, id),
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
                        result -> {
                            boolean loaded =
                                    result.fold(
                                            stored -> adopt(id, stored, revision), fault -> false);
                            if (loaded) {
                                mClaiming.remove(id);
                            } else {
                                mParts.later(RETRY_NANOS, () -> load(id, revision));
                            }
                        },
                        mParts.executor());
    }

    private boolean adopt(StepId id, StoredStep stored, long revision) {
        KnownStep known = mParts.directory().get(id);
        StepManifest manifest = known == null ? null : known.mManifest;
        if (manifest == null || known.mEnded || mDraining) {
            return true;
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
            return true;
        }
        Route route = mParts.routeOf(manifest);
        long age = System.currentTimeMillis() - manifest.acceptedAt();
        mOwned.put(id, new Owned(route, revision));
        mParts.log()
                .write(
                        LogLine.of("step.taken")
                                .with("step", id)
                                .with("listed", stored.listed().size())
                                .with("partial", stored.partial().size())
                                .with("age_ms", age)
                                .with("fence", revision));
        mMachine.onOwned(spec, route, stored.listed(), stored.partial(), age, System.nanoTime());
        return true;
    }

    /** Begins a graceful stop: takes no more steps. */
    void onDrain() {
        mDraining = true;
    }

    /** Hands all steps over, with the text that they have. */
    void handOver() {
        for (StepId id : new ArrayList<>(mOwned.keySet())) {
            Owned owned = mOwned.get(id);
            if (owned == null || owned.mAppend != null) {
                continue;
            }
            mOwned.remove(id);
            mParts.log().write(LogLine.of("step.handover").with("step", id));
            mStore.release(id, owned.mRevision, mMachine.handOver(id));
        }
    }
}
