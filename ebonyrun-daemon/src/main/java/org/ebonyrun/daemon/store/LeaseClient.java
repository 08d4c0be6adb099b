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
 * Takes and extends leases, which are keys with a time to live. The fence of a lease is recorded
 * for good before its holder hears of it.
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

    /** Creates a client that takes leases for {@code self}. */
    public static LeaseClient create(KeyValueStore store, LeaseHolder self) {
        return new LeaseClient(store, self);
    }

    /** Takes a lease if it is free, and tells who holds it now. */
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

    /** Extends a lease; false means that it lapsed or has another holder. */
    public CompletableFuture<Result<Boolean>> renew(String key, long revision) {
        return mStore.renew(key, revision, Lease.TTL_MILLIS)
                .thenApply(result -> result.map(WriteOutcome::applied));
    }

    /** Gives a lease up, so that another process can take it at once. */
    public CompletableFuture<Result<WriteOutcome>> release(String key, long revision) {
        return mStore.delete(key, revision);
    }

    private CompletableFuture<Result<LeaseRecord>> onOutcome(String key, WriteOutcome outcome) {
        if (outcome.applied()) {
            return recorded(key, new LeaseRecord(mSelf, outcome.revision()));
        }
        return mStore.get(key)
                .thenCompose(
                        result ->
                                result.flatMap(entry -> reading(key, entry))
                                        .fold(
                                                reading -> recorded(key, reading),
                                                fault ->
                                                        CompletableFuture.completedFuture(
                                                                Result.err(fault))));
    }

    /** Records the fence if the lease is ours. */
    private CompletableFuture<Result<LeaseRecord>> recorded(String key, LeaseRecord reading) {
        if (!reading.holder().isSameProcess(mSelf)) {
            return CompletableFuture.completedFuture(Result.ok(reading));
        }
        return mFences.record(key, reading.revision())
                .thenApply(result -> result.map(ignored -> reading));
    }

    private static Result<LeaseRecord> reading(String key, Optional<KeyValueEntry> entry) {
        return entry.flatMap(
                        found ->
                                parse(found.value())
                                        .map(holder -> new LeaseRecord(holder, found.revision())))
                .map(Result::ok)
                .orElseGet(() -> Result.err(vanished(key)));
    }

    private static Optional<LeaseHolder> parse(byte[] value) {
        try {
            return Optional.of(Json.read(value, LeaseHolder.class));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Fault vanished(String key) {
        return Fault.failed(
                FaultCode.CONFLICT, "lease.read", key, "the lease lapsed while it was read");
    }
}
