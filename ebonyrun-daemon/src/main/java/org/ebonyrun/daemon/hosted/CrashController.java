package org.ebonyrun.daemon.hosted;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallFingerprint;
import org.ebonyrun.core.call.CrashRecord;
import org.ebonyrun.core.call.CrashRecords;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;

/**
 * Shares with the other entries, through the shared store, which calls crash endpoints.
 *
 * <p>Invariant: what this entry observed is written until the store has it; while the store is
 * unavailable it waits, and only this entry acts on it. Few writes are open at a time, so that
 * connections that break for other reasons don't load the store.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class CrashController {
    private static final int MAX_OPEN_WRITES = 2;
    private static final int MAX_PENDING = 1_024;
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    private static final long SWEEP_NANOS = Nanos.ofMillis(60_000);

    private final HostedContext mContext;
    private final SharedStore mStore;
    private final CrashRecords mRecords = new CrashRecords();
    private final Map<CallFingerprint, Long> mRevisions = new HashMap<>();
    // What has to be written, with the time from which on it may be.
    private final Map<CallFingerprint, Long> mPending = new LinkedHashMap<>();
    private int mOpenWrites;
    private long mNextSweepAt;

    CrashController(HostedContext context, SharedStore store) {
        mContext = context;
        mStore = store;
    }

    /** Returns whether no call is known to crash endpoints. */
    boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** Returns whether a call may not be sent to endpoints again. */
    boolean isBlocked(CallFingerprint call) {
        return mRecords.isBlocked(call);
    }

    /** Handles the arrival of a call. */
    void onArrival(CallFingerprint call) {
        mRecords.onArrival(call, System.currentTimeMillis()).ifPresent(record -> write(call));
    }

    /** Handles a connection that broke while an endpoint ran a call. */
    void onCrash(CallFingerprint call, String requestId, String endpoint) {
        Optional<CrashRecord> record = mRecords.onCrash(call, endpoint, System.currentTimeMillis());
        record.ifPresent(
                updated -> {
                    mContext.log()
                            .write(
                                    LogLine.of("call.crash")
                                            .with("request", requestId)
                                            .with("fingerprint", call)
                                            .with("endpoint", endpoint)
                                            .with("endpoints", updated.endpoints().size())
                                            .with("blocked", updated.isBlocked()));
                    write(call);
                });
    }

    /** Handles a response of an endpoint to a call. */
    void onAnswered(CallFingerprint call) {
        if (mRecords.onAnswered(call)) {
            write(call);
        }
    }

    private void write(CallFingerprint call) {
        if (mPending.size() < MAX_PENDING) {
            mPending.put(call, System.nanoTime());
            writePending(System.nanoTime());
        }
    }

    /** Writes what is pending, and removes expired records if {@code sweeps}. */
    void onTick(boolean sweeps, long now) {
        writePending(now);
        if (sweeps && !mRecords.isEmpty() && now - mNextSweepAt >= 0) {
            mNextSweepAt = now + SWEEP_NANOS;
            for (CallFingerprint call : mRecords.expired(System.currentTimeMillis())) {
                mRecords.onRemoved(call);
                write(call);
            }
        }
    }

    private void writePending(long now) {
        if (mPending.isEmpty() || mContext.storeHealth().isUnavailable()) {
            return;
        }
        for (Map.Entry<CallFingerprint, Long> entry : List.copyOf(mPending.entrySet())) {
            if (mOpenWrites < MAX_OPEN_WRITES && now - entry.getValue() >= 0) {
                mPending.remove(entry.getKey());
                commit(entry.getKey());
            }
        }
    }

    /** Makes the store's record of a call equal to the one here. */
    private void commit(CallFingerprint call) {
        String key = StoreKeys.crashKey(call);
        long revision = mRevisions.getOrDefault(call, Transaction.ABSENT);
        CrashRecord record = mRecords.get(call);
        Transaction.Builder transaction = Transaction.builder().expect(key, revision);
        if (record != null) {
            transaction.write(key, CrashCodec.encode(record));
        } else if (revision == Transaction.ABSENT) {
            return;
        } else {
            transaction.remove(key);
        }
        mOpenWrites++;
        mStore.commit(transaction.build())
                .thenAcceptAsync(
                        mContext.callback(result -> onCommitEnd(call, record == null, result)),
                        mContext.executor());
    }

    private void onCommitEnd(CallFingerprint call, boolean removal, Result<CommitResult> result) {
        mOpenWrites--;
        CommitResult commit = result.fold(done -> done, fault -> null);
        if (commit == null) {
            mPending.putIfAbsent(call, System.nanoTime() + RETRY_NANOS);
        } else if (commit.isCommitted()) {
            setRevision(call, removal ? Transaction.ABSENT : commit.revision());
        } else {
            mRevisions.remove(call);
            commit.current().forEach(item -> apply(call, item));
            mPending.putIfAbsent(call, System.nanoTime());
        }
        writePending(System.nanoTime());
    }

    private void setRevision(CallFingerprint call, long revision) {
        if (revision == Transaction.ABSENT) {
            mRevisions.remove(call);
        } else {
            mRevisions.merge(call, revision, Math::max);
        }
    }

    private void apply(CallFingerprint call, StoreItem item) {
        setRevision(call, item.revision());
        try {
            mRecords.onShared(call, CrashCodec.decode(item.value()));
        } catch (IllegalArgumentException e) {
            mContext.log()
                    .write(
                            LogLine.of("store.unreadable")
                                    .with("key", item.key())
                                    .with("why", e.getMessage()));
        }
    }

    /** Handles all records in the store. */
    void onSnapshot(List<StoreItem> items) {
        Set<CallFingerprint> known = new HashSet<>(mPending.keySet());
        items.forEach(item -> known.add(StoreKeys.crashedCall(item.key())));
        mRecords.retainAll(known);
        mRevisions.clear();
        items.forEach(item -> apply(StoreKeys.crashedCall(item.key()), item));
    }

    /** Handles a record that an entry wrote or removed. */
    void onChange(StoreChange change) {
        CallFingerprint call = StoreKeys.crashedCall(change.key());
        StoreItem item = change.item();
        if (item != null) {
            apply(call, item);
        } else if (mRevisions.getOrDefault(call, 0L) < change.revision()) {
            mRevisions.remove(call);
            mRecords.onRemoved(call);
        }
    }
}
