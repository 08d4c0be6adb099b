package org.ebonyrun.daemon.hosted;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/**
 * Keeps steps in the shared store.
 *
 * <p>Thread safe; keeps no state. Invariants: a manifest is written only together with or after all
 * chunks of its submission; a result key is written once, by the owner at that time.
 */
final class StepStore {
    private static final int CHUNK_BYTES = 600_000;
    // Chunks that travel in one transaction with the manifest and the owner.
    private static final int CHUNKS_AT_ONCE = 1;

    private final SharedStore mStore;

    StepStore(SharedStore store) {
        mStore = store;
    }

    /** Accepts a step for an owner, if it was not accepted before. */
    CompletableFuture<Result<CommitResult>> accept(
            StepId id, StepManifest manifest, byte[] submission, String owner, long lease) {
        List<byte[]> chunks = split(submission);
        CompletableFuture<Result<CommitResult>> before =
                CompletableFuture.completedFuture(Result.ok(null));
        int last = chunks.size() - CHUNKS_AT_ONCE;
        for (int i = 0; i < last; i++) {
            Transaction chunk =
                    Transaction.builder().write(StoreKeys.chunkKey(id, i), chunks.get(i)).build();
            before =
                    before.thenCompose(
                            result ->
                                    result.isOk()
                                            ? mStore.commit(chunk)
                                            : CompletableFuture.completedFuture(result));
        }
        String manifestKey = StoreKeys.liveKey(id, StoreKeys.MANIFEST);
        Transaction accept =
                Transaction.builder()
                        .expect(manifestKey, Transaction.ABSENT)
                        .write(StoreKeys.chunkKey(id, last), chunks.get(last))
                        .write(manifestKey, StepCodec.manifest(manifest))
                        .write(
                                StoreKeys.liveKey(id, StoreKeys.OWNER),
                                owner.getBytes(StandardCharsets.UTF_8),
                                lease)
                        .build();
        return before.thenCompose(
                result ->
                        result.isOk()
                                ? mStore.commit(accept)
                                : CompletableFuture.completedFuture(result));
    }

    private static List<byte[]> split(byte[] bytes) {
        List<byte[]> chunks = new ArrayList<>();
        for (int from = 0; from == 0 || from < bytes.length; from += CHUNK_BYTES) {
            chunks.add(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES)));
        }
        return chunks;
    }

    /** Returns whether a step is accepted. */
    CompletableFuture<Result<Boolean>> isAccepted(StepId id) {
        return mStore.get(StoreKeys.liveKey(id, StoreKeys.MANIFEST))
                .thenApply(result -> result.map(Optional::isPresent));
    }

    /**
     * Takes a step.
     *
     * @param ownerRevision the revision of the owner's key that is replaced, or absent
     */
    CompletableFuture<Result<CommitResult>> claim(
            StepId id, long ownerRevision, String owner, long lease) {
        String key = StoreKeys.liveKey(id, StoreKeys.OWNER);
        return mStore.commit(
                Transaction.builder()
                        .expect(key, ownerRevision)
                        .expect(StoreKeys.liveKey(id, StoreKeys.END), Transaction.ABSENT)
                        .expect(StoreKeys.liveKey(id, StoreKeys.DONE), Transaction.ABSENT)
                        .write(key, owner.getBytes(StandardCharsets.UTF_8), lease)
                        .build());
    }

    /**
     * Stores results from a position on, if the owner's key is unchanged.
     *
     * @param partial texts of unfinished samples to keep with them; empty to leave them as they are
     */
    CompletableFuture<Result<CommitResult>> appendResults(
            StepId id,
            long ownerRevision,
            int position,
            byte[] results,
            byte[] partial,
            boolean last) {
        String ownerKey = StoreKeys.liveKey(id, StoreKeys.OWNER);
        String resultKey = StoreKeys.resultKey(id, position);
        Transaction.Builder transaction =
                Transaction.builder()
                        .expect(ownerKey, ownerRevision)
                        .expect(resultKey, Transaction.ABSENT)
                        .write(resultKey, results);
        if (partial.length > 0) {
            transaction.write(StoreKeys.checkpointKey(id), partial);
        }
        if (last) {
            transaction.write(StoreKeys.liveKey(id, StoreKeys.DONE), new byte[] {'1'});
        }
        return mStore.commit(transaction.build());
    }

    /** Keeps texts of unfinished samples, if the owner's key is unchanged. */
    CompletableFuture<Result<CommitResult>> storeCheckpoint(
            StepId id, long ownerRevision, byte[] partial) {
        return mStore.commit(
                Transaction.builder()
                        .expect(StoreKeys.liveKey(id, StoreKeys.OWNER), ownerRevision)
                        .write(StoreKeys.checkpointKey(id), partial)
                        .build());
    }

    /** Notes that the trainer ended a step. */
    CompletableFuture<Result<CommitResult>> markEnded(StepId id) {
        String key = StoreKeys.liveKey(id, StoreKeys.END);
        return mStore.commit(
                Transaction.builder()
                        .expect(key, Transaction.ABSENT)
                        .write(key, new byte[] {'1'})
                        .build());
    }

    /** Hands a step over: keeps texts of unfinished samples and gives the ownership up. */
    CompletableFuture<Result<CommitResult>> release(
            StepId id, long ownerRevision, List<SampleCheckpoint> texts) {
        String ownerKey = StoreKeys.liveKey(id, StoreKeys.OWNER);
        Transaction.Builder transaction =
                Transaction.builder().expect(ownerKey, ownerRevision).remove(ownerKey);
        byte[] partial = StepCodec.checkpoint(texts);
        if (!texts.isEmpty() && partial.length <= CHUNK_BYTES) {
            transaction.write(StoreKeys.checkpointKey(id), partial);
        }
        return mStore.commit(transaction.build());
    }

    /** Removes everything that is kept of a step. */
    CompletableFuture<Result<Void>> delete(StepId id) {
        List<String> live = new ArrayList<>();
        for (String part :
                List.of(StoreKeys.MANIFEST, StoreKeys.OWNER, StoreKeys.END, StoreKeys.DONE)) {
            live.add(StoreKeys.liveKey(id, part));
        }
        return readAll(StoreKeys.dataPrefix(id), "", new ArrayList<>(), 0)
                .thenCompose(
                        result ->
                                result.fold(
                                        read -> removeAll(read.items(), live),
                                        fault ->
                                                CompletableFuture.completedFuture(
                                                        Result.err(fault))));
    }

    private CompletableFuture<Result<Void>> removeAll(List<StoreItem> items, List<String> live) {
        List<String> keys = new ArrayList<>(items.stream().map(StoreItem::key).toList());
        keys.addAll(live);
        CompletableFuture<Result<CommitResult>> chain =
                CompletableFuture.completedFuture(Result.ok(null));
        for (int from = 0; from < keys.size(); from += Transaction.MAX_ENTRIES) {
            Transaction.Builder removal = Transaction.builder();
            keys.subList(from, Math.min(keys.size(), from + Transaction.MAX_ENTRIES))
                    .forEach(removal::remove);
            chain =
                    chain.thenCompose(
                            result ->
                                    result.isOk()
                                            ? mStore.commit(removal.build())
                                            : CompletableFuture.completedFuture(result));
        }
        return chain.thenApply(result -> result.map(commit -> null));
    }

    /** Reads the bulk of a step. */
    CompletableFuture<Result<StoredStep>> load(StepId id) {
        return readAll(StoreKeys.dataPrefix(id), "", new ArrayList<>(), 0)
                .thenApply(result -> result.flatMap(StepStore::read));
    }

    /** Reads the results of a step. */
    CompletableFuture<Result<StoredStep>> loadResults(StepId id) {
        return readAll(StoreKeys.resultsPrefix(id), "", new ArrayList<>(), 0)
                .thenApply(result -> result.flatMap(StepStore::read));
    }

    private CompletableFuture<Result<StorePage>> readAll(
            String prefix, String after, List<StoreItem> items, long revision) {
        return mStore.range(prefix, after)
                .thenCompose(
                        result ->
                                result.fold(
                                        page -> {
                                            items.addAll(page.items());
                                            long first = revision == 0 ? page.revision() : revision;
                                            boolean more =
                                                    page.truncated() && !page.items().isEmpty();
                                            return more
                                                    ? readAll(
                                                            prefix,
                                                            items.get(items.size() - 1).key(),
                                                            items,
                                                            first)
                                                    : CompletableFuture.completedFuture(
                                                            Result.ok(
                                                                    new StorePage(
                                                                            items, false, first)));
                                        },
                                        fault ->
                                                CompletableFuture.completedFuture(
                                                        Result.err(fault))));
    }

    private static Result<StoredStep> read(StorePage page) {
        try {
            return Result.ok(stored(page));
        } catch (IllegalArgumentException e) {
            String detail = "stored values can't be read: " + e.getMessage();
            return Result.err(
                    Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "step.load", "", detail));
        }
    }

    /** Decodes what is kept of a step; throws {@link IllegalArgumentException} if it can't. */
    private static StoredStep stored(StorePage page) {
        ByteArrayOutputStream submission = new ByteArrayOutputStream();
        List<SampleResult> listed = new ArrayList<>();
        List<SampleCheckpoint> partial = new ArrayList<>();
        for (StoreItem item : page.items()) {
            if (StoreKeys.isChunkKey(item.key())) {
                submission.writeBytes(item.value());
            } else if (StoreKeys.isResultKey(item.key())) {
                listed.addAll(StepCodec.results(item.value()));
            } else {
                partial.addAll(StepCodec.checkpoint(item.value()));
            }
        }
        return new StoredStep(submission.toByteArray(), listed, partial, page.revision());
    }
}
