package org.ebonyrun.daemon.hosted;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes steps in the shared store.
 *
 * <p>Invariants: a manifest is written only together with or after all chunks of its submission; a
 * result key is written once, by the owner at that time.
 *
 * <p>Stateless and thread safe.
 */
final class StepStore {
    private static final int CHUNK_BYTES = 600_000;
    // The number of chunks in the same transaction as the manifest and the owner. All others are
    // written before.
    private static final int CHUNKS_WITH_MANIFEST = 1;

    private final SharedStore mStore;

    StepStore(SharedStore store) {
        mStore = store;
    }

    /**
     * Stores a new step and its owner, if the step was not accepted before.
     *
     * @param owner the name of the owner process
     * @param lease the lease to which the owner key is attached
     */
    CompletableFuture<Result<CommitResult>> accept(
            StepId id, StepManifest manifest, byte[] submission, String owner, long lease) {
        List<byte[]> chunks = split(submission);
        CompletableFuture<Result<CommitResult>> written =
                CompletableFuture.completedFuture(Result.ok(null));
        int last = chunks.size() - CHUNKS_WITH_MANIFEST;
        String manifestKey = StoreKeys.liveKey(id, StoreKeys.MANIFEST);
        for (int i = 0; i < last; i++) {
            Transaction.Builder builder =
                    Transaction.builder().write(StoreKeys.chunkKey(id, i), chunks.get(i));
            if (manifest.workspace() != null) {
                // Another workspace must not replace the samples of an accepted step.
                builder.expect(manifestKey, Transaction.ABSENT);
            }
            Transaction chunk = builder.build();
            written =
                    written.thenCompose(
                            result ->
                                    result.isOk()
                                            ? mStore.commit(chunk)
                                            : CompletableFuture.completedFuture(result));
        }
        Transaction acceptance =
                Transaction.builder()
                        .expect(manifestKey, Transaction.ABSENT)
                        .write(StoreKeys.chunkKey(id, last), chunks.get(last))
                        .write(manifestKey, StepCodec.manifest(manifest))
                        .write(
                                StoreKeys.liveKey(id, StoreKeys.OWNER),
                                owner.getBytes(StandardCharsets.UTF_8),
                                lease)
                        .build();
        return written.thenCompose(
                result ->
                        result.isOk()
                                ? mStore.commit(acceptance)
                                : CompletableFuture.completedFuture(result));
    }

    private static List<byte[]> split(byte[] bytes) {
        List<byte[]> chunks = new ArrayList<>();
        for (int from = 0; from == 0 || from < bytes.length; from += CHUNK_BYTES) {
            chunks.add(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES)));
        }
        return chunks;
    }

    /** Returns whether a step is accepted that a workspace may reach. */
    CompletableFuture<Result<Boolean>> isAccepted(StepId id, @Nullable WorkspaceName workspace) {
        return mStore.get(StoreKeys.liveKey(id, StoreKeys.MANIFEST))
                .thenApply(
                        result ->
                                result.map(
                                        item ->
                                                item.isPresent()
                                                        && isAccessible(item.get(), workspace)));
    }

    /**
     * Returns whether the workspace of a step may reach the one that was accepted before.
     *
     * @param current items of the store, with the manifest that was accepted before if it is known
     */
    static boolean isAccessible(List<StoreItem> current, StepSpec spec) {
        String key = StoreKeys.liveKey(spec.id(), StoreKeys.MANIFEST);
        return current.stream()
                .filter(item -> item.key().equals(key))
                .allMatch(item -> isAccessible(item, spec.workspace()));
    }

    /** Returns whether a workspace may reach a step; one that is unreadable is of none. */
    private static boolean isAccessible(StoreItem manifest, @Nullable WorkspaceName workspace) {
        try {
            return StepCodec.manifest(manifest.value()).isAccessibleTo(workspace);
        } catch (IllegalArgumentException ignored) {
            return workspace == null;
        }
    }

    /**
     * Claims a step unless it was ended or is done.
     *
     * @param ownerRevision the revision of the owner key to replace, or {@link Transaction#ABSENT}
     * @param owner the name of the new owner process
     * @param lease the lease to which the owner key is attached
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
     * Stores results from a position on, if the owner key has the given revision and the position
     * has no results yet.
     *
     * @param checkpoint the checkpoint to store with them; empty to keep the stored one
     * @param last whether these are the last results, which marks the step as done
     */
    CompletableFuture<Result<CommitResult>> appendResults(
            StepId id,
            long ownerRevision,
            int position,
            byte[] results,
            byte[] checkpoint,
            boolean last) {
        String ownerKey = StoreKeys.liveKey(id, StoreKeys.OWNER);
        String resultKey = StoreKeys.resultKey(id, position);
        Transaction.Builder transaction =
                Transaction.builder()
                        .expect(ownerKey, ownerRevision)
                        .expect(resultKey, Transaction.ABSENT)
                        .write(resultKey, results);
        if (checkpoint.length > 0) {
            transaction.write(StoreKeys.checkpointKey(id), checkpoint);
        }
        if (last) {
            transaction.write(StoreKeys.liveKey(id, StoreKeys.DONE), new byte[] {'1'});
        }
        return mStore.commit(transaction.build());
    }

    /** Stores a checkpoint, if the owner key has the given revision. */
    CompletableFuture<Result<CommitResult>> storeCheckpoint(
            StepId id, long ownerRevision, byte[] checkpoint) {
        return mStore.commit(
                Transaction.builder()
                        .expect(StoreKeys.liveKey(id, StoreKeys.OWNER), ownerRevision)
                        .write(StoreKeys.checkpointKey(id), checkpoint)
                        .build());
    }

    /** Marks a step as ended by its trainer. */
    CompletableFuture<Result<CommitResult>> markEnded(StepId id) {
        String key = StoreKeys.liveKey(id, StoreKeys.END);
        return mStore.commit(
                Transaction.builder()
                        .expect(key, Transaction.ABSENT)
                        .write(key, new byte[] {'1'})
                        .build());
    }

    /**
     * Hands a step over, if the owner key has the given revision: removes that key, so that another
     * entry can claim the step, and stores a checkpoint unless it is too large.
     */
    CompletableFuture<Result<CommitResult>> release(
            StepId id, long ownerRevision, List<SampleCheckpoint> checkpoints) {
        String ownerKey = StoreKeys.liveKey(id, StoreKeys.OWNER);
        Transaction.Builder transaction =
                Transaction.builder().expect(ownerKey, ownerRevision).remove(ownerKey);
        byte[] checkpoint = StepCodec.checkpoint(checkpoints);
        if (!checkpoints.isEmpty() && checkpoint.length <= CHUNK_BYTES) {
            transaction.write(StoreKeys.checkpointKey(id), checkpoint);
        }
        return mStore.commit(transaction.build());
    }

    /**
     * Removes every key of a step, data keys first. If a call fails, the remaining keys stay; a
     * repeated call removes them.
     */
    CompletableFuture<Result<Void>> delete(StepId id) {
        List<String> live = new ArrayList<>();
        for (String part :
                List.of(StoreKeys.MANIFEST, StoreKeys.OWNER, StoreKeys.END, StoreKeys.DONE)) {
            live.add(StoreKeys.liveKey(id, part));
        }
        return StorePages.readAll(mStore, StoreKeys.dataPrefix(id))
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

    /** Reads all data of a step: the submission, the results and the checkpoint. */
    CompletableFuture<Result<StoredStep>> load(StepId id) {
        return StorePages.readAll(mStore, StoreKeys.dataPrefix(id))
                .thenApply(result -> result.flatMap(StepStore::tryDecode));
    }

    /** Reads only the results of a step. */
    CompletableFuture<Result<StoredStep>> loadResults(StepId id) {
        return StorePages.readAll(mStore, StoreKeys.resultsPrefix(id))
                .thenApply(result -> result.flatMap(StepStore::tryDecode));
    }

    private static Result<StoredStep> tryDecode(StorePage page) {
        try {
            return Result.ok(decode(page));
        } catch (IllegalArgumentException e) {
            String detail = "a stored value is malformed: " + e.getMessage();
            return Result.err(
                    Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "step.load", "", detail));
        }
    }

    /**
     * Decodes the data of a step.
     *
     * @throws IllegalArgumentException if a value is malformed
     */
    private static StoredStep decode(StorePage page) {
        ByteArrayOutputStream submission = new ByteArrayOutputStream();
        List<SampleResult> results = new ArrayList<>();
        List<SampleCheckpoint> checkpoints = new ArrayList<>();
        for (StoreItem item : page.items()) {
            if (StoreKeys.isChunkKey(item.key())) {
                submission.writeBytes(item.value());
            } else if (StoreKeys.isResultKey(item.key())) {
                results.addAll(StepCodec.results(item.value()));
            } else if (StoreKeys.isCheckpointKey(item.key())) {
                checkpoints.addAll(StepCodec.checkpoint(item.value()));
            }
        }
        return new StoredStep(submission.toByteArray(), results, checkpoints, page.revision());
    }
}
