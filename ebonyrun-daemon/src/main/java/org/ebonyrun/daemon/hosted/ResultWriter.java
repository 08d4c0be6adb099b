package org.ebonyrun.daemon.hosted;

import java.util.Arrays;
import java.util.List;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;

/**
 * Stores results of owned steps, and texts of unfinished samples beside them.
 *
 * <p>Invariants: results are stored only by a transaction that expects the owner's key as this
 * entry wrote it; a transaction whose outcome is unknown is repeated unchanged until the store
 * tells.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class ResultWriter {
    private static final long RETRY_NANOS = Nanos.ofMillis(150);
    // How often texts of unfinished samples are kept, and how long they must be. A lost owner then
    // costs a long sample at most this time and the events of its last moments.
    private static final long CHECKPOINT_NANOS = Nanos.ofMillis(800);
    // The same for texts that travel with results, which costs no further call.
    private static final long CHECKPOINT_WITH_RESULTS_NANOS = Nanos.ofMillis(400);
    private static final int CHECKPOINT_EVENTS = 12;
    private static final int CHECKPOINT_BYTES = 400_000;
    private static final byte[] NOTHING = new byte[0];

    /** Says who owns steps. */
    interface Ownership {
        /** Returns whether a step is still owned by the same claim. */
        boolean isCurrent(StepId id, OwnedStep owned);

        /** The last results of a step are stored. */
        void onLastResultsStored(StepId id);

        /** The step is no longer owned. */
        void onOwnershipLost(StepId id, String why);
    }

    private final HostedContext mParts;
    private final StepStore mStore;
    private final StepMachine mMachine;
    private final Ownership mOwner;
    private final boolean mCheckpoints;

    ResultWriter(HostedContext parts, StepStore store, StepMachine machine, Ownership owner) {
        mParts = parts;
        mStore = store;
        mMachine = machine;
        mOwner = owner;
        mCheckpoints = parts.policy().isEnabled(Mechanism.CHECKPOINTS);
    }

    /** Repeats what the store did not answer, and keeps texts of steps that list nothing. */
    void onTick(StepId id, OwnedStep owned, long now) {
        PendingResults pending = owned.mPending;
        if (mParts.isStoreUnavailable()) {
            return;
        }
        if (pending == null) {
            keep(id, owned, partialWhenDue(id, owned, CHECKPOINT_NANOS, now));
        } else if (!pending.mInFlight && now - pending.mRetryAt >= 0) {
            send(id, owned);
        }
    }

    /** Stores results. */
    void append(
            StepId id, OwnedStep owned, int position, List<SampleResult> results, boolean last) {
        byte[] partial = NOTHING;
        if (!last) {
            long now = System.nanoTime();
            partial = partialWhenDue(id, owned, CHECKPOINT_WITH_RESULTS_NANOS, now);
        }
        owned.mPending = new PendingResults(position, StepCodec.results(results), partial, last);
        send(id, owned);
    }

    /** Returns the texts to keep now; empty if it is too soon or none are worth it. */
    private byte[] partialWhenDue(StepId id, OwnedStep owned, long everyNanos, long now) {
        if (!mCheckpoints || now - owned.mLastCheckpointAt < everyNanos) {
            return NOTHING;
        }
        owned.mLastCheckpointAt = now;
        return encode(id, mMachine.checkpoints(id, CHECKPOINT_EVENTS));
    }

    /** Returns texts as they are kept; empty if there are none or they take too much room. */
    private byte[] encode(StepId id, List<SampleCheckpoint> texts) {
        byte[] partial = texts.isEmpty() ? NOTHING : StepCodec.checkpoint(texts);
        if (partial.length > CHECKPOINT_BYTES) {
            logUnkept(id, "texts have " + partial.length + " bytes");
            return NOTHING;
        }
        return partial;
    }

    /** Keeps texts of a step that has ended, for a later step that asks for them again. */
    void storeCheckpoint(StepId id, OwnedStep owned, List<SampleCheckpoint> texts) {
        keep(id, owned, encode(id, texts));
    }

    /** Keeps texts, if there are any. A failure costs no more than a rerun. */
    private void keep(StepId id, OwnedStep owned, byte[] partial) {
        if (partial.length == 0) {
            return;
        }
        mStore.storeCheckpoint(id, owned.mOwnerRevision, partial)
                .thenAcceptAsync(
                        result ->
                                result.fold(
                                        commit -> commit,
                                        fault -> {
                                            logUnkept(id, fault.detail());
                                            return null;
                                        }),
                        mParts.executor());
    }

    private void logUnkept(StepId id, String why) {
        mParts.log().write(LogLine.of("step.uncheckpointed").with("step", id).with("why", why));
    }

    private void send(StepId id, OwnedStep owned) {
        PendingResults append = owned.mPending;
        if (append == null) {
            return;
        }
        append.mInFlight = true;
        if (append.mNeedsClaim) {
            claimAgain(id, owned, append);
            return;
        }
        mStore.appendResults(
                        id,
                        owned.mOwnerRevision,
                        append.mPosition,
                        append.mValue,
                        append.mCheckpoint,
                        append.mLast)
                .thenAcceptAsync(
                        result -> onAppended(id, owned, append, result), mParts.executor());
    }

    private void onAppended(
            StepId id, OwnedStep owned, PendingResults append, Result<CommitResult> result) {
        append.mInFlight = false;
        if (!mOwner.isCurrent(id, owned)) {
            return;
        }
        result.fold(
                commit -> {
                    if (commit.isCommitted() || holds(commit, id, append)) {
                        onStored(id, owned, append);
                    } else if (ownerChanged(commit, id, owned)) {
                        mOwner.onOwnershipLost(id, "another entry owns the step");
                    } else {
                        append.mNeedsClaim = true;
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

    private void onStored(StepId id, OwnedStep owned, PendingResults append) {
        owned.mPending = null;
        mMachine.onResultsStored(id, System.nanoTime());
        if (append.mLast) {
            mOwner.onLastResultsStored(id);
        }
    }

    /** Returns whether the conflict shows that the same results were stored before. */
    private static boolean holds(CommitResult commit, StepId id, PendingResults append) {
        String key = StoreKeys.resultKey(id, append.mPosition);
        for (StoreItem item : commit.current()) {
            if (item.key().equals(key) && Arrays.equals(item.value(), append.mValue)) {
                return true;
            }
        }
        return false;
    }

    private boolean ownerChanged(CommitResult commit, StepId id, OwnedStep owned) {
        String key = StoreKeys.liveKey(id, StoreKeys.OWNER);
        String resultKey =
                StoreKeys.resultKey(id, owned.mPending == null ? 0 : owned.mPending.mPosition);
        for (StoreItem item : commit.current()) {
            boolean other = item.key().equals(key) && item.revision() != owned.mOwnerRevision;
            if (other || item.key().equals(resultKey)) {
                return true;
            }
        }
        return false;
    }

    private void claimAgain(StepId id, OwnedStep owned, PendingResults append) {
        mParts.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                append.mInFlight = false;
                                append.mRetryAt = System.nanoTime() + RETRY_NANOS;
                                return;
                            }
                            mStore.claim(id, Transaction.ABSENT, mParts.self().format(), lease)
                                    .thenAcceptAsync(
                                            result -> onClaimedAgain(id, owned, append, result),
                                            mParts.executor());
                        },
                        System.nanoTime());
    }

    private void onClaimedAgain(
            StepId id, OwnedStep owned, PendingResults append, Result<CommitResult> result) {
        append.mInFlight = false;
        if (!mOwner.isCurrent(id, owned)) {
            return;
        }
        result.fold(
                commit -> {
                    if (commit.isCommitted()) {
                        owned.mOwnerRevision = commit.revision();
                        append.mNeedsClaim = false;
                        send(id, owned);
                    } else if (mParts.ownRevision(commit, id) != 0) {
                        owned.mOwnerRevision = mParts.ownRevision(commit, id);
                        append.mNeedsClaim = false;
                        send(id, owned);
                    } else if (commit.outcome() == CommitOutcome.LEASE_ENDED) {
                        append.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    } else {
                        mOwner.onOwnershipLost(id, "another entry owns the step, or it is over");
                    }
                    return commit;
                },
                fault -> {
                    append.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    return null;
                });
    }
}
