package org.ebonyrun.daemon.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.kv.ConditionalWriter;
import org.ebonyrun.ports.kv.KeyValueEntry;
import org.ebonyrun.ports.kv.KeyValueStore;
import org.ebonyrun.ports.kv.WriteOutcome;

/**
 * Stores the highest fence of each lease under a key that never expires. The key of the lease
 * itself expires with its holder, so a restarted agent cannot read its fence floor from it.
 *
 * <p>Invariant: a recorded fence never decreases.
 *
 * <p>Thread safe.
 */
public final class FenceStore {
    private static final int MAX_ATTEMPTS = 4;

    private final KeyValueStore mStore;
    private final ConditionalWriter mWriter;

    private FenceStore(KeyValueStore store) {
        mStore = store;
        mWriter = ConditionalWriter.create(store);
    }

    /** Creates a fence store on top of a key-value store. */
    public static FenceStore create(KeyValueStore store) {
        return new FenceStore(store);
    }

    /** Returns the highest recorded fence of a lease; zero if there is none. */
    public CompletableFuture<Result<Long>> read(String leaseKey) {
        return mStore.get(key(leaseKey)).thenApply(result -> result.map(FenceStore::parse));
    }

    /**
     * Records a fence unless a higher one is recorded. The holder of the lease must not act before
     * this has succeeded.
     */
    public CompletableFuture<Result<Boolean>> record(String leaseKey, long fence) {
        return record(leaseKey, fence, 1);
    }

    private CompletableFuture<Result<Boolean>> record(String leaseKey, long fence, int attempt) {
        if (attempt > MAX_ATTEMPTS) {
            return completed(Result.err(contended(leaseKey)));
        }
        return mStore.get(key(leaseKey))
                .thenCompose(
                        result ->
                                result.fold(
                                        entry -> write(leaseKey, fence, entry, attempt),
                                        fault -> completed(Result.err(fault))));
    }

    private CompletableFuture<Result<Boolean>> write(
            String leaseKey, long fence, Optional<KeyValueEntry> entry, int attempt) {
        if (parse(entry) >= fence) {
            return completed(Result.ok(true));
        }
        byte[] value = Long.toString(fence).getBytes(StandardCharsets.UTF_8);
        long revision = entry.map(KeyValueEntry::revision).orElse(KeyValueStore.ABSENT);
        return mWriter.put(
                        key(leaseKey),
                        value,
                        revision,
                        KeyValueStore.NO_EXPIRY_MILLIS,
                        stored -> Arrays.equals(stored, value))
                .thenCompose(
                        result ->
                                result.fold(
                                        outcome -> onWritten(leaseKey, fence, outcome, attempt),
                                        fault -> completed(Result.err(fault))));
    }

    private CompletableFuture<Result<Boolean>> onWritten(
            String leaseKey, long fence, WriteOutcome outcome, int attempt) {
        return outcome.applied()
                ? completed(Result.ok(true))
                : record(leaseKey, fence, attempt + 1);
    }

    private static long parse(Optional<KeyValueEntry> entry) {
        return entry.map(found -> new String(found.value(), StandardCharsets.UTF_8))
                .map(Long::parseLong)
                .orElse(0L);
    }

    private static String key(String leaseKey) {
        return "fence/" + leaseKey;
    }

    private static Fault contended(String leaseKey) {
        return Fault.failed(
                FaultCode.CONFLICT, "fence.record", leaseKey, "too many concurrent writers");
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
