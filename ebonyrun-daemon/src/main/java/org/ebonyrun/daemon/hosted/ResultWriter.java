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
 * Stores results of owned steps, and checkpoints: texts of their unfinished samples.
 *
 * <p>Invariants: every transaction that stores results is fenced, that is, it commits only if the
 * step's owner key still has the revision at which this entry wrote it. A transaction whose outcome
 * is unknown is retried unchanged until the store reports an outcome.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class ResultWriter {
    private static final long RETRY_NANOS = Nanos.ofMillis(150);
    // The interval of checkpoints that need a store call of their own. If the owner is lost, a long
    // sample has to be generated again from its last checkpoint on: at most this interval and its
    // last events.
    private static final long CHECKPOINT_INTERVAL_NANOS = Nanos.ofMillis(800);
    // Shorter for checkpoints in the same transaction as results, which need no further call.
    private static final long CHECKPOINT_WITH_RESULTS_INTERVAL_NANOS = Nanos.ofMillis(400);
    // The least number of events that a text must have to be part of a checkpoint.
    private static final int MIN_CHECKPOINT_EVENTS = 12;
    // A larger checkpoint is not stored.
    private static final int MAX_CHECKPOINT_BYTES = 400_000;
    // Leaves room for the escapes of texts.
    private static final int MAX_TEXT_BYTES = 360_000;
    private static final byte[] EMPTY = new byte[0];

    /** Checks whether steps are still owned, and is notified when ownership ends. */
    interface Ownership {
        /** Returns whether a step is still owned, by the same claim as {@code owned}. */
        boolean isCurrent(StepId id, OwnedStep owned);

        /** Called after the last results of a step were stored. */
        void onLastResultsStored(StepId id);

        /** Called when this entry finds that it no longer owns a step. */
        void onOwnershipLost(StepId id, String why);
    }

    private final HostedContext mContext;
    private final StepStore mStore;
    private final StepMachine mMachine;
    private final Ownership mOwnership;
    private final boolean mCheckpointsEnabled;

    ResultWriter(HostedContext context, StepStore store, StepMachine machine, Ownership ownership) {
        mContext = context;
        mStore = store;
        mMachine = machine;
        mOwnership = ownership;
        mCheckpointsEnabled = context.policy().isEnabled(Mechanism.CHECKPOINTS);
    }

    /** Retries a store call that failed, or stores a checkpoint if one is due. */
    void onTick(StepId id, OwnedStep owned, long now) {
        PendingResults pending = owned.mPending;
        if (mContext.storeHealth().isUnavailable()) {
            return;
        }
        if (pending == null) {
            storeCheckpoint(id, owned, dueCheckpoint(id, owned, CHECKPOINT_INTERVAL_NANOS, now));
        } else if (!pending.mInFlight && now - pending.mRetryAt >= 0) {
            send(id, owned);
        }
    }

    /** Stores results. */
    void append(
            StepId id, OwnedStep owned, int position, List<SampleResult> results, boolean last) {
        byte[] checkpoint = EMPTY;
        if (!last) {
            long now = System.nanoTime();
            checkpoint = dueCheckpoint(id, owned, CHECKPOINT_WITH_RESULTS_INTERVAL_NANOS, now);
        }
        owned.mPending = new PendingResults(position, StepCodec.results(results), checkpoint, last);
        send(id, owned);
    }

    /** Returns the checkpoint if one is due; empty if none is, or if no text is long enough. */
    private byte[] dueCheckpoint(StepId id, OwnedStep owned, long intervalNanos, long now) {
        if (!mCheckpointsEnabled || now - owned.mLastCheckpointAt < intervalNanos) {
            return EMPTY;
        }
        owned.mLastCheckpointAt = now;
        return encode(id, mMachine.checkpoints(id, MIN_CHECKPOINT_EVENTS));
    }

    /** Encodes as many texts as a checkpoint can hold; returns an empty array if there are none. */
    private byte[] encode(StepId id, List<SampleCheckpoint> texts) {
        List<SampleCheckpoint> checkpoints = SampleCheckpoint.fitting(texts, MAX_TEXT_BYTES);
        byte[] checkpoint = checkpoints.isEmpty() ? EMPTY : StepCodec.checkpoint(checkpoints);
        if (checkpoint.length > MAX_CHECKPOINT_BYTES) {
            logCheckpointNotStored(id, "checkpoint too large: " + checkpoint.length + " bytes");
            return EMPTY;
        }
        return checkpoint;
    }

    /** Stores the texts of a step that was ended, for a later step with the same samples. */
    void storeCheckpoint(StepId id, OwnedStep owned, List<SampleCheckpoint> checkpoints) {
        storeCheckpoint(id, owned, encode(id, checkpoints));
    }

    /**
     * Stores a checkpoint unless it is empty. A failure is not retried: it only means that samples
     * may have to be generated again.
     */
    private void storeCheckpoint(StepId id, OwnedStep owned, byte[] checkpoint) {
        if (checkpoint.length == 0) {
            return;
        }
        mStore.storeCheckpoint(id, owned.mOwnerKey.revision(), checkpoint)
                .thenAcceptAsync(
                        mContext.callback(
                                result ->
                                        result.fold(
                                                commit -> commit,
                                                fault -> {
                                                    logCheckpointNotStored(id, fault.detail());
                                                    return null;
                                                })),
                        mContext.executor());
    }

    private void logCheckpointNotStored(StepId id, String why) {
        mContext.log().write(LogLine.of("step.uncheckpointed").with("step", id).with("why", why));
    }

    private void send(StepId id, OwnedStep owned) {
        PendingResults pending = owned.mPending;
        if (pending == null) {
            return;
        }
        pending.mInFlight = true;
        if (pending.mNeedsClaim) {
            reclaim(id, owned, pending);
            return;
        }
        mStore.appendResults(
                        id,
                        owned.mOwnerKey.revision(),
                        pending.mPosition,
                        pending.mValue,
                        pending.mCheckpoint,
                        pending.mLast)
                .thenAcceptAsync(
                        mContext.callback(result -> onAppended(id, owned, pending, result)),
                        mContext.executor());
    }

    private void onAppended(
            StepId id, OwnedStep owned, PendingResults pending, Result<CommitResult> result) {
        pending.mInFlight = false;
        if (!mOwnership.isCurrent(id, owned)) {
            return;
        }
        result.fold(
                commit -> {
                    if (commit.isCommitted() || isAlreadyStored(commit, id, pending)) {
                        onStored(id, owned, pending);
                    } else if (isOwnerChanged(commit, id, owned)) {
                        mOwnership.onOwnershipLost(id, "another entry owns the step");
                    } else {
                        pending.mNeedsClaim = true;
                        send(id, owned);
                    }
                    return commit;
                },
                fault -> {
                    pending.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    mContext.log()
                            .write(
                                    LogLine.of("step.store.retry")
                                            .with("step", id)
                                            .with("position", pending.mPosition)
                                            .with("fault", fault.detail()));
                    return null;
                });
    }

    private void onStored(StepId id, OwnedStep owned, PendingResults pending) {
        owned.mPending = null;
        mMachine.onResultsStored(id, System.nanoTime());
        if (pending.mLast) {
            mOwnership.onLastResultsStored(id);
        }
    }

    /** Returns whether a conflict shows that an earlier try has stored the same results. */
    private static boolean isAlreadyStored(CommitResult commit, StepId id, PendingResults pending) {
        String key = StoreKeys.resultKey(id, pending.mPosition);
        for (StoreItem item : commit.current()) {
            if (item.key().equals(key) && Arrays.equals(item.value(), pending.mValue)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a conflict shows that another entry owns the step: the owner key has another
     * revision, or another result has the position.
     */
    private boolean isOwnerChanged(CommitResult commit, StepId id, OwnedStep owned) {
        String key = StoreKeys.liveKey(id, StoreKeys.OWNER);
        String resultKey =
                StoreKeys.resultKey(id, owned.mPending == null ? 0 : owned.mPending.mPosition);
        for (StoreItem item : commit.current()) {
            boolean ownerReplaced =
                    item.key().equals(key) && item.revision() != owned.mOwnerKey.revision();
            if (ownerReplaced || item.key().equals(resultKey)) {
                return true;
            }
        }
        return false;
    }

    /** Claims the step again after its owner key has expired with the lease. */
    private void reclaim(StepId id, OwnedStep owned, PendingResults pending) {
        mContext.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                pending.mInFlight = false;
                                pending.mRetryAt = System.nanoTime() + RETRY_NANOS;
                                return;
                            }
                            mStore.claim(id, Transaction.ABSENT, mContext.self().format(), lease)
                                    .thenAcceptAsync(
                                            mContext.callback(
                                                    result ->
                                                            onReclaimed(
                                                                    id, owned, pending, lease,
                                                                    result)),
                                            mContext.executor());
                        },
                        System.nanoTime());
    }

    private void onReclaimed(
            StepId id,
            OwnedStep owned,
            PendingResults pending,
            long lease,
            Result<CommitResult> result) {
        pending.mInFlight = false;
        if (!mOwnership.isCurrent(id, owned)) {
            return;
        }
        result.fold(
                commit -> {
                    OwnerKey ownKey = mContext.ownKey(commit, id, lease);
                    if (ownKey != null) {
                        owned.mOwnerKey = ownKey;
                        pending.mNeedsClaim = false;
                        send(id, owned);
                    } else if (commit.outcome() == CommitOutcome.LEASE_ENDED) {
                        pending.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    } else {
                        mOwnership.onOwnershipLost(
                                id, "another entry owns the step, or it has ended");
                    }
                    return commit;
                },
                fault -> {
                    pending.mRetryAt = System.nanoTime() + RETRY_NANOS;
                    return null;
                });
    }
}
