package org.ebonyrun.daemon.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.lease.Lease;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseRecord;
import org.ebonyrun.ports.kv.ConditionalWriter;
import org.ebonyrun.ports.kv.KeyValueEntry;
import org.ebonyrun.ports.kv.KeyValueStore;
import org.ebonyrun.ports.kv.WriteOutcome;

/**
 * Acquires, renews and releases leases, which are keys with a time to live. The fence of an
 * acquired lease is recorded, without expiry, before {@link #acquire} reports the lease to its
 * holder.
 *
 * <p>Thread safe.
 */
public final class LeaseClient {
    private final KeyValueStore mStore;
    private final ConditionalWriter mWriter;
    private final FenceStore mFences;
    private final LeaseHolder mSelf;

    private LeaseClient(KeyValueStore store, LeaseHolder self) {
        mStore = store;
        mWriter = ConditionalWriter.create(store);
        mFences = FenceStore.create(store);
        mSelf = self;
    }

    /** Creates a client that acquires leases for {@code self}. */
    public static LeaseClient create(KeyValueStore store, LeaseHolder self) {
        return new LeaseClient(store, self);
    }

    /** Acquires a lease if it is free, and returns its current holder. */
    public CompletableFuture<Result<LeaseRecord>> acquire(String key) {
        return mWriter.put(
                        key,
                        Json.write(mSelf),
                        KeyValueStore.ABSENT,
                        Lease.TTL_MILLIS,
                        value -> parse(value).map(mSelf::isSameProcess).orElse(false))
                .thenCompose(
                        result ->
                                result.fold(
                                        outcome -> onOutcome(key, outcome),
                                        fault ->
                                                CompletableFuture.completedFuture(
                                                        Result.err(fault))));
    }

    /** Renews a lease; returns false if it expired or has another holder. */
    public CompletableFuture<Result<Boolean>> renew(String key, long revision) {
        return mStore.renew(key, revision, Lease.TTL_MILLIS)
                .thenApply(result -> result.map(WriteOutcome::applied));
    }

    /** Releases a lease, so that another process can acquire it at once. */
    public CompletableFuture<Result<WriteOutcome>> release(String key, long revision) {
        return mStore.delete(key, revision);
    }

    private CompletableFuture<Result<LeaseRecord>> onOutcome(String key, WriteOutcome outcome) {
        if (outcome.applied()) {
            return recordFence(key, new LeaseRecord(mSelf, outcome.revision()));
        }
        return mStore.get(key)
                .thenCompose(
                        result ->
                                result.flatMap(entry -> toRecord(key, entry))
                                        .fold(
                                                lease -> recordFence(key, lease),
                                                fault ->
                                                        CompletableFuture.completedFuture(
                                                                Result.err(fault))));
    }

    /** Records the fence if this process holds the lease. */
    private CompletableFuture<Result<LeaseRecord>> recordFence(String key, LeaseRecord lease) {
        if (!lease.holder().isSameProcess(mSelf)) {
            return CompletableFuture.completedFuture(Result.ok(lease));
        }
        return mFences.record(key, lease.revision())
                .thenApply(result -> result.map(ignored -> lease));
    }

    private static Result<LeaseRecord> toRecord(String key, Optional<KeyValueEntry> entry) {
        return entry.flatMap(
                        found ->
                                parse(found.value())
                                        .map(holder -> new LeaseRecord(holder, found.revision())))
                .map(Result::ok)
                .orElseGet(() -> Result.err(expired(key)));
    }

    private static Optional<LeaseHolder> parse(byte[] value) {
        try {
            return Optional.of(Json.read(value, LeaseHolder.class));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Fault expired(String key) {
        return Fault.failed(
                FaultCode.CONFLICT, "lease.read", key, "the lease expired while it was read");
    }
}
