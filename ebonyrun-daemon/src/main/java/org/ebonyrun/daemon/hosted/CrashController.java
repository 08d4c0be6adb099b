package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallAdmission;
import org.ebonyrun.core.call.CallFingerprint;
import org.ebonyrun.core.call.CrashRecord;
import org.ebonyrun.core.call.CrashRecords;
import org.ebonyrun.core.call.CrashSweep;
import org.ebonyrun.core.call.CrashWrites;
import org.ebonyrun.core.call.UnansweredCalls;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/**
 * Shares with the other entries, through the shared store, which calls crash endpoints.
 *
 * <p>Invariants: what this entry observed is written until the store has it; while the store is
 * unavailable it waits, and only this entry acts on it. A call that was answered here is not
 * blocked by what was stored before the answer. A blocked call is tried by the entry that has
 * claimed the trial in the store, once, and by none while the store is unavailable. One write is
 * open for a call, and few at a time in all, so that connections that break for other reasons don't
 * load the store.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class CrashController implements CrashSweep.Outputs {
    private static final int MAX_STORED = 8_192;
    private static final int MAX_TRIALS = 1_024;
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    // A call whose retry is answered within this time needs no record.
    private static final long FIRST_WRITE_NANOS = Nanos.ofMillis(300);

    /**
     * What the store has of a call.
     *
     * @param revision the revision of the last known change
     * @param present whether there is a record
     */
    private record Stored(long revision, boolean present) {}

    /**
     * A trial of a blocked call.
     *
     * @param callId the call that is sent
     * @param granted whether the store has the claim
     */
    private record Trial(long callId, boolean granted) {}

    private final HostedContext mContext;
    private final SharedStore mStore;
    private final CrashRecords mRecords = new CrashRecords();
    private final UnansweredCalls mUnanswered = new UnansweredCalls();
    private final Map<CallFingerprint, Stored> mStored = new LinkedHashMap<>();
    private final Map<CallFingerprint, Trial> mTrials = new LinkedHashMap<>();
    private final CrashWrites mWrites = new CrashWrites();
    private final CrashSweep mSweep = new CrashSweep(this);

    CrashController(HostedContext context, SharedStore store) {
        mContext = context;
        mStore = store;
    }

    /** Returns whether no call is known to crash endpoints. */
    boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /**
     * Returns whether a call may be sent. If a trial of a blocked call is due, the call claims it,
     * and is pending until the store has the claim.
     *
     * @param callId the ID of the call in this process
     */
    CallAdmission admission(CallFingerprint call, long callId, String requestId) {
        if (!mRecords.isBlocked(call)) {
            return CallAdmission.ADMITTED;
        }
        Trial trial = mTrials.get(call);
        if (trial != null && trial.callId() == callId) {
            return trial.granted() ? CallAdmission.ADMITTED : CallAdmission.PENDING;
        }
        boolean claims = trial == null || trial.granted();
        return claims && claimTrial(call, callId, requestId)
                ? CallAdmission.PENDING
                : CallAdmission.BLOCKED;
    }

    /** Returns whether a trial was due, so that its claim is being written. */
    private boolean claimTrial(CallFingerprint call, long callId, String requestId) {
        Stored stored = mStored.get(call);
        Optional<CrashRecord> claim = mRecords.startTrial(call, System.currentTimeMillis());
        if (claim.isEmpty()
                || stored == null
                || !stored.present()
                || mWrites.contains(call)
                || mContext.storeHealth().isUnavailable()) {
            return false;
        }
        setTrial(call, new Trial(callId, false));
        String key = StoreKeys.crashKey(call);
        Transaction transaction =
                Transaction.builder()
                        .expect(key, stored.revision())
                        .write(key, CrashCodec.encode(claim.get()))
                        .build();
        mStore.commit(transaction)
                .thenAcceptAsync(
                        mContext.callback(
                                result -> onClaimed(call, callId, requestId, claim.get(), result)),
                        mContext.executor());
        return true;
    }

    private void onClaimed(
            CallFingerprint call,
            long callId,
            String requestId,
            CrashRecord claim,
            Result<CommitResult> result) {
        CommitResult commit = result.fold(done -> done, fault -> null);
        boolean granted = commit != null && commit.isCommitted();
        mContext.log()
                .write(
                        LogLine.of("call.trial")
                                .with("request", requestId)
                                .with("fingerprint", call)
                                .with("endpoints", claim.endpoints().size())
                                .with("pause_ms", claim.pauseMillis())
                                .with("granted", granted));
        if (granted && isNews(call, commit.revision())) {
            setStored(call, commit.revision(), true);
            mRecords.onReplaced(call, claim, System.nanoTime());
        } else if (commit != null) {
            commit.current().forEach(item -> apply(call, item));
        }
        Trial trial = mTrials.get(call);
        if (trial == null || trial.callId() != callId) {
            return;
        }
        if (granted) {
            setTrial(call, new Trial(callId, true));
        } else {
            mTrials.remove(call);
        }
    }

    private void setTrial(CallFingerprint call, Trial trial) {
        mTrials.put(call, trial);
        if (mTrials.size() > MAX_TRIALS) {
            mTrials.remove(mTrials.keySet().iterator().next());
        }
    }

    /** Returns when a caller of a blocked call may come back, in milliseconds. */
    long retryAfterMillis(CallFingerprint call) {
        return mRecords.retryAfterMillis(call, System.currentTimeMillis());
    }

    /** Returns whether a call that one endpoint may have run may be sent to another one. */
    boolean mayRetry(CallFingerprint call) {
        return mRecords.mayRetry(call);
    }

    /** Returns whether a call has broken a connection to any endpoint. */
    boolean hasCrashed(CallFingerprint call) {
        return mRecords.contains(call);
    }

    /** Handles a connection that broke while an endpoint ran a call. */
    void onCrash(CallFingerprint call, String requestId, String endpoint) {
        mTrials.remove(call);
        Optional<CrashRecord> record =
                mRecords.onCrash(call, endpoint, System.currentTimeMillis(), System.nanoTime());
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
                    write(call, updated.endpoints().size() == 1 ? FIRST_WRITE_NANOS : 0);
                });
    }

    /** Handles a response of an endpoint to a call. */
    void onAnswered(CallFingerprint call) {
        mTrials.remove(call);
        if (mRecords.onAnswered(call)) {
            mWrites.addAnswered(call, System.nanoTime());
            writePending(System.nanoTime());
        }
    }

    /**
     * Handles a response of an endpoint to any call, which shows that no earlier call crashed it.
     *
     * @param endpoint the life of the endpoint
     * @param sentAt when the call was sent
     */
    void onEndpointAnswered(String endpoint, long sentAt) {
        if (mRecords.isEmpty() || mContext.storeHealth().isUnavailable()) {
            return;
        }
        for (CallFingerprint call : mRecords.onAlive(endpoint, sentAt)) {
            boolean blocked = mRecords.isBlocked(call);
            mContext.log()
                    .write(
                            LogLine.of("call.cleared")
                                    .with("fingerprint", call)
                                    .with("endpoint", endpoint)
                                    .with("blocked", blocked));
            if (mRecords.contains(call)) {
                mWrites.add(call, System.nanoTime());
            } else {
                mWrites.addAnswered(call, System.nanoTime());
            }
        }
        writePending(System.nanoTime());
    }

    /** Handles the end of a call that an endpoint was sent and did not answer. */
    void onUnanswered(CallFingerprint call, String requestId, String endpoint) {
        mUnanswered.add(
                new UnansweredCalls.Unanswered(call, requestId, endpoint, System.nanoTime()));
    }

    /** Handles a sign that an endpoint has crashed. */
    void onEndpointCrashed(String endpoint) {
        mUnanswered
                .onEndpointCrashed(endpoint, System.nanoTime())
                .forEach(call -> onCrash(call.call(), call.requestId(), endpoint));
    }

    private void write(CallFingerprint call, long delayNanos) {
        mWrites.add(call, System.nanoTime() + delayNanos);
        writePending(System.nanoTime());
    }

    /** Writes what is pending, and removes needless records from the store if {@code sweeps}. */
    void onTick(boolean sweeps, long now) {
        writePending(now);
        if (sweeps && !mRecords.isEmpty() && !mContext.storeHealth().isUnavailable()) {
            mSweep.onTick(now);
        }
    }

    @Override
    public void readPage(String last) {
        String after = last.isEmpty() ? "" : StoreKeys.crashKey(new CallFingerprint(last));
        mStore.range(StoreKeys.CRASH_PREFIX, after)
                .thenAcceptAsync(mContext.callback(this::onSweepPage), mContext.executor());
    }

    private void onSweepPage(Result<StorePage> result) {
        StorePage page = result.fold(read -> read, fault -> null);
        if (page == null) {
            mSweep.onFailed(System.nanoTime());
            return;
        }
        List<CrashSweep.Stored> records = new ArrayList<>();
        for (StoreItem item : page.items()) {
            CallFingerprint call = StoreKeys.crashedCall(item.key());
            records.add(new CrashSweep.Stored(call, item.revision(), decode(item)));
        }
        mSweep.onPage(records, page.truncated(), System.currentTimeMillis());
    }

    @Override
    public void remove(List<CrashSweep.Stored> records) {
        Transaction.Builder transaction = Transaction.builder();
        for (CrashSweep.Stored stored : records) {
            String key = StoreKeys.crashKey(stored.call());
            transaction.expect(key, stored.revision()).remove(key);
        }
        mStore.commit(transaction.build())
                .thenAcceptAsync(
                        mContext.callback(result -> onSwept(records.size(), result)),
                        mContext.executor());
    }

    private void onSwept(int records, Result<CommitResult> result) {
        CommitResult commit = result.fold(done -> done, fault -> null);
        mContext.log()
                .write(
                        LogLine.of("crash.swept")
                                .with("records", records)
                                .with("removed", commit != null && commit.isCommitted()));
        if (commit == null) {
            mSweep.onFailed(System.nanoTime());
        } else {
            mSweep.onRemoved();
        }
    }

    private void writePending(long now) {
        if (mContext.storeHealth().isUnavailable()) {
            return;
        }
        for (Optional<CallFingerprint> next = mWrites.startNext(now);
                next.isPresent();
                next = mWrites.startNext(now)) {
            commit(next.get());
        }
    }

    /** Makes the store's record of a call equal to the one here. */
    private void commit(CallFingerprint call) {
        String key = StoreKeys.crashKey(call);
        Stored stored = mStored.get(call);
        boolean present = stored != null && stored.present();
        CrashRecord record = mRecords.get(call);
        if (record == null && !present) {
            mWrites.onDone(call);
            return;
        }
        long revision = present ? stored.revision() : Transaction.ABSENT;
        Transaction.Builder transaction = Transaction.builder().expect(key, revision);
        if (record != null) {
            transaction.write(key, CrashCodec.encode(record));
        } else {
            transaction.remove(key);
        }
        mStore.commit(transaction.build())
                .thenAcceptAsync(
                        mContext.callback(result -> onCommitEnd(call, record != null, result)),
                        mContext.executor());
    }

    private void onCommitEnd(CallFingerprint call, boolean present, Result<CommitResult> result) {
        CommitResult commit = result.fold(done -> done, fault -> null);
        if (commit == null) {
            mWrites.onRepeat(call, System.nanoTime() + RETRY_NANOS);
        } else if (commit.isCommitted()) {
            setStored(call, commit.revision(), present);
            mWrites.onDone(call);
        } else {
            mStored.remove(call);
            commit.current().forEach(item -> apply(call, item));
            mWrites.onRepeat(call, System.nanoTime());
        }
        writePending(System.nanoTime());
    }

    private void setStored(CallFingerprint call, long revision, boolean present) {
        mStored.remove(call);
        mStored.put(call, new Stored(revision, present));
        if (mStored.size() > MAX_STORED) {
            mStored.remove(mStored.keySet().iterator().next());
        }
    }

    /** Returns whether a change is newer than what is known of the store's record of a call. */
    private boolean isNews(CallFingerprint call, long revision) {
        Stored stored = mStored.get(call);
        return stored == null || revision > stored.revision();
    }

    private void apply(CallFingerprint call, StoreItem item) {
        if (!isNews(call, item.revision())) {
            return;
        }
        setStored(call, item.revision(), true);
        if (mWrites.isAnswered(call)) {
            return;
        }
        CrashRecord record = decode(item);
        if (record.endpoints().isEmpty()) {
            return;
        }
        if (mWrites.contains(call)) {
            mRecords.onShared(call, record, System.nanoTime());
        } else {
            mRecords.onReplaced(call, record, System.nanoTime());
        }
    }

    /** Returns a stored record; one without endpoints if it is unreadable. */
    private CrashRecord decode(StoreItem item) {
        try {
            return CrashCodec.decode(item.value());
        } catch (IllegalArgumentException e) {
            mContext.log()
                    .write(
                            LogLine.of("store.unreadable")
                                    .with("key", item.key())
                                    .with("why", e.getMessage()));
            return new CrashRecord(Set.of(), 0);
        }
    }

    /** Handles all records in the store. */
    void onSnapshot(List<StoreItem> items) {
        Set<CallFingerprint> known = mWrites.calls();
        items.forEach(item -> known.add(StoreKeys.crashedCall(item.key())));
        mRecords.retainAll(known);
        mStored.values().removeIf(Stored::present);
        items.forEach(item -> apply(StoreKeys.crashedCall(item.key()), item));
    }

    /** Handles a record that an entry wrote or removed. */
    void onChange(StoreChange change) {
        CallFingerprint call = StoreKeys.crashedCall(change.key());
        StoreItem item = change.item();
        if (item != null) {
            apply(call, item);
        } else if (isNews(call, change.revision())) {
            setStored(call, change.revision(), false);
            mRecords.onRemoved(call);
        }
    }
}
