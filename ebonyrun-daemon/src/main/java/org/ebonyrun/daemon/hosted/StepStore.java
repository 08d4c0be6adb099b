package org.ebonyrun.daemon.hosted;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
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
        CompletableFuture<Result<CommitResult>> written =
                CompletableFuture.completedFuture(Result.ok(null));
        int last = Math.max(0, (submission.length - 1) / CHUNK_BYTES);
        String manifestKey = StoreKeys.liveKey(id, StoreKeys.MANIFEST);
        for (int i = 0; i < last; i++) {
            int number = i;
            // Each chunk is copied when its turn comes, so that one copy exists at a time.
            written =
                    written.thenCompose(
                            result ->
                                    result.isOk()
                                            ? mStore.commit(chunk(id, manifest, submission, number))
                                            : CompletableFuture.completedFuture(result));
        }
        return written.thenCompose(
                result ->
                        result.isOk()
                                ? mStore.commit(
                                        Transaction.builder()
                                                .expect(manifestKey, Transaction.ABSENT)
                                                .write(
                                                        StoreKeys.chunkKey(id, last),
                                                        chunkBytes(submission, last))
                                                .write(manifestKey, StepCodec.manifest(manifest))
                                                .write(
                                                        StoreKeys.liveKey(id, StoreKeys.OWNER),
                                                        owner.getBytes(StandardCharsets.UTF_8),
                                                        lease)
                                                .build())
                                : CompletableFuture.completedFuture(result));
    }

    private static Transaction chunk(
            StepId id, StepManifest manifest, byte[] submission, int number) {
        Transaction.Builder chunk =
                Transaction.builder()
                        .write(StoreKeys.chunkKey(id, number), chunkBytes(submission, number));
        if (manifest.workspace() != null) {
            // Another workspace must not replace the samples of an accepted step.
            chunk.expect(StoreKeys.liveKey(id, StoreKeys.MANIFEST), Transaction.ABSENT);
        }
        return chunk.build();
    }

    private static byte[] chunkBytes(byte[] submission, int number) {
        int from = number * CHUNK_BYTES;
        return Arrays.copyOfRange(
                submission, from, Math.min(submission.length, from + CHUNK_BYTES));
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
        return mStore.commit(newClaim(id, ownerRevision, owner, lease).build());
    }

    private static Transaction.Builder newClaim(
            StepId id, long ownerRevision, String owner, long lease) {
        String key = StoreKeys.liveKey(id, StoreKeys.OWNER);
        return Transaction.builder()
                .expect(key, ownerRevision)
                .expect(StoreKeys.liveKey(id, StoreKeys.END), Transaction.ABSENT)
                .expect(StoreKeys.liveKey(id, StoreKeys.DONE), Transaction.ABSENT)
                .write(key, owner.getBytes(StandardCharsets.UTF_8), lease);
    }

    /**
     * Claims a step that has no owner, as a process that has owned it before, unless the step was
     * ended, is done or has more results than that process knows.
     *
     * @param listed the number of results that the process knows
     * @param owner the name of the process
     * @param lease the lease to which the owner key is attached
     */
    CompletableFuture<Result<CommitResult>> reclaim(
            StepId id, int listed, String owner, long lease) {
        return mStore.commit(
                newClaim(id, Transaction.ABSENT, owner, lease)
                        .expect(StoreKeys.resultKey(id, listed), Transaction.ABSENT)
                        .build());
    }

    /** Returns whether a conflict shows that results are stored at a position. */
    static boolean hasResultsAt(CommitResult conflict, StepId id, int position) {
        String key = StoreKeys.resultKey(id, position);
        return conflict.current().stream().anyMatch(item -> item.key().equals(key));
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

    /**
     * Reads all data of a step: the submission, the results and the checkpoint.
     *
     * @param submissionBytes the size of the submission; zero if it is unknown
     * @param memory the claim that grows by the submission
     */
    CompletableFuture<Result<StoredStep>> load(StepId id, int submissionBytes, MemoryClaim memory) {
        StoredStepCollector collector = new StoredStepCollector(submissionBytes, memory);
        return StorePages.forEach(mStore, StoreKeys.dataPrefix(id), "", collector::add)
                .thenApply(result -> result.map(collector::finish));
    }

    /** Reads the results and the checkpoint of a step. */
    CompletableFuture<Result<StoredStep>> loadTexts(StepId id) {
        return collect(StoreKeys.dataPrefix(id), StoreKeys.afterChunks(id));
    }

    /**
     * Reads the results of a step around a position.
     *
     * @param start the position of a value at the position or before it; zero if none is known
     * @return the store revision at which the first page was read
     */
    CompletableFuture<Result<Long>> loadResults(StepId id, int start, ResultCollector collector) {
        String after = start == 0 ? "" : StoreKeys.resultKey(id, start - 1);
        return StorePages.forEachWhile(mStore, StoreKeys.resultsPrefix(id), after, collector::add);
    }

    private CompletableFuture<Result<StoredStep>> collect(String prefix, String after) {
        MemoryClaim none = MemoryAccount.unlimited().open(MemoryClass.STEP);
        StoredStepCollector collector = new StoredStepCollector(0, none);
        return StorePages.forEach(mStore, prefix, after, collector::add)
                .thenApply(result -> result.map(collector::finish));
    }
}
