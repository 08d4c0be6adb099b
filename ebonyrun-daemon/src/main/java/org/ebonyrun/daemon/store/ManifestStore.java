package org.ebonyrun.daemon.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.hash.Hashing;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.rollout.StepManifest;
import org.ebonyrun.ports.kv.ConditionalWriter;
import org.ebonyrun.ports.kv.KeyValueEntry;
import org.ebonyrun.ports.kv.KeyValueStore;

/**
 * Stores step manifests in the key-value service, compressed and split into chunks. The head, which
 * is written last, refers to the content by its hash, so a manifest is either complete or absent.
 *
 * <p>Thread safe.
 */
public final class ManifestStore {
    private static final int CHUNK_BYTES = 512 * 1024;
    private static final long TTL_MILLIS = 24 * 3_600_000L;

    private final KeyValueStore mStore;
    private final ConditionalWriter mWriter;

    private ManifestStore(KeyValueStore store) {
        mStore = store;
        mWriter = ConditionalWriter.create(store);
    }

    /** Creates a manifest store on top of a key-value store. */
    public static ManifestStore create(KeyValueStore store) {
        return new ManifestStore(store);
    }

    /**
     * The value of a step's head key.
     *
     * @param hash the hash of the compressed manifest
     * @param chunks the number of chunks
     */
    private record Head(@JsonProperty("hash") String hash, @JsonProperty("chunks") int chunks) {}

    /**
     * Stores a manifest; the manifest is completely stored once the result is successful. Fails if
     * a different manifest is stored for the step.
     */
    public CompletableFuture<Result<Boolean>> store(StepManifest manifest) {
        byte[] packed = compress(Json.write(manifest));
        String hash = Hashing.murmur3_128().hashBytes(packed).toString();
        List<byte[]> chunks = split(packed);
        CompletableFuture<Result<Boolean>> stored =
                CompletableFuture.completedFuture(Result.ok(true));
        for (int i = 0; i < chunks.size(); i++) {
            String key = chunkKey(manifest.trainer(), manifest.step(), hash, i);
            byte[] chunk = chunks.get(i);
            stored = stored.thenCompose(previous -> putNext(previous, key, chunk));
        }
        byte[] head = Json.write(new Head(hash, chunks.size()));
        String key = headKey(manifest.trainer(), manifest.step());
        return stored.thenCompose(previous -> putNext(previous, key, head))
                .thenApply(result -> result.flatMap(isStored -> checkStored(isStored, key)));
    }

    /** Loads a manifest; empty if there is none or a part of it is absent. */
    public CompletableFuture<Result<Optional<StepManifest>>> load(TrainerId trainer, long step) {
        return mStore.get(headKey(trainer, step))
                .thenCompose(
                        result ->
                                result.fold(
                                        head -> loadChunks(trainer, step, head),
                                        fault ->
                                                CompletableFuture.completedFuture(
                                                        Result.err(fault))));
    }

    /** Deletes a manifest. Keys that remain after a fault expire after their time to live. */
    public void delete(TrainerId trainer, long step) {
        String key = headKey(trainer, step);
        mStore.get(key)
                .thenAccept(
                        result -> result.map(entry -> entry.map(e -> delete(trainer, step, e))));
    }

    private boolean delete(TrainerId trainer, long step, KeyValueEntry entry) {
        Head head = Json.read(entry.value(), Head.class);
        mStore.delete(entry.key(), entry.revision());
        for (int i = 0; i < head.chunks(); i++) {
            mStore.get(chunkKey(trainer, step, head.hash(), i))
                    .thenAccept(
                            result ->
                                    result.map(
                                            chunk ->
                                                    chunk.map(
                                                            c ->
                                                                    mStore.delete(
                                                                            c.key(),
                                                                            c.revision()))));
        }
        return true;
    }

    private CompletableFuture<Result<Boolean>> putNext(
            Result<Boolean> previous, String key, byte[] value) {
        if (!previous.isOk()) {
            return CompletableFuture.completedFuture(previous);
        }
        return mWriter.put(
                        key,
                        value,
                        KeyValueStore.ABSENT,
                        TTL_MILLIS,
                        stored -> Arrays.equals(stored, value))
                .thenCompose(
                        result ->
                                result.fold(
                                        outcome ->
                                                outcome.applied()
                                                        ? CompletableFuture.completedFuture(
                                                                Result.ok(true))
                                                        : holdsValue(key, value),
                                        fault ->
                                                CompletableFuture.completedFuture(
                                                        Result.err(fault))));
    }

    private CompletableFuture<Result<Boolean>> holdsValue(String key, byte[] value) {
        return mStore.get(key)
                .thenApply(
                        result ->
                                result.map(
                                        entry ->
                                                entry.isPresent()
                                                        && Arrays.equals(
                                                                entry.get().value(), value)));
    }

    private static Result<Boolean> checkStored(boolean isStored, String key) {
        return isStored
                ? Result.ok(true)
                : Result.err(
                        Fault.notRun(
                                FaultCode.CONFLICT,
                                "step.store",
                                key,
                                "the step was already submitted with a different manifest"));
    }

    private CompletableFuture<Result<Optional<StepManifest>>> loadChunks(
            TrainerId trainer, long step, Optional<KeyValueEntry> entry) {
        if (entry.isEmpty()) {
            return CompletableFuture.completedFuture(Result.ok(Optional.empty()));
        }
        Head head = Json.read(entry.get().value(), Head.class);
        List<CompletableFuture<Result<Optional<KeyValueEntry>>>> reads = new ArrayList<>();
        for (int i = 0; i < head.chunks(); i++) {
            reads.add(mStore.get(chunkKey(trainer, step, head.hash(), i)));
        }
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> join(reads));
    }

    private static Result<Optional<StepManifest>> join(
            List<CompletableFuture<Result<Optional<KeyValueEntry>>>> reads) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        for (CompletableFuture<Result<Optional<KeyValueEntry>>> read : reads) {
            Result<Optional<KeyValueEntry>> chunk = read.join();
            if (!chunk.isOk()) {
                return chunk.map(ignored -> Optional.empty());
            }
            Optional<KeyValueEntry> entry = chunk.orThrow();
            if (entry.isEmpty()) {
                return Result.ok(Optional.empty());
            }
            packed.writeBytes(entry.get().value());
        }
        byte[] text = decompress(packed.toByteArray());
        return Result.ok(Optional.of(Json.read(text, StepManifest.class)));
    }

    private static List<byte[]> split(byte[] bytes) {
        List<byte[]> chunks = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += CHUNK_BYTES) {
            int to = Math.min(bytes.length, from + CHUNK_BYTES);
            chunks.add(Arrays.copyOfRange(bytes, from, to));
        }
        return chunks;
    }

    private static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
            gzip.write(bytes);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }

    private static byte[] decompress(byte[] bytes) {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            return gzip.readAllBytes();
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot decompress a step manifest: " + e.getMessage(), e);
        }
    }

    private static String headKey(TrainerId trainer, long step) {
        return "step/" + trainer + "/" + step + "/head";
    }

    private static String chunkKey(TrainerId trainer, long step, String hash, int index) {
        return "step/" + trainer + "/" + step + "/chunk/" + hash + "/" + index;
    }
}
