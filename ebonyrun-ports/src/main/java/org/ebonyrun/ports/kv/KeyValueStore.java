package org.ebonyrun.ports.kv;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Result;

/**
 * The platform's key-value service.
 *
 * <p>Implementations are thread safe and never block. A fault with outcome {@code unknown} means
 * that a write may have taken effect. Each call, including a pending watch, counts against the
 * service's rate limit.
 */
public interface KeyValueStore {
    /** The expected revision of a key that must be absent. */
    long ABSENT = 0;

    /** The time to live of a key that does not expire. */
    long NO_EXPIRY_MILLIS = 0;

    /** Reads a key. */
    CompletableFuture<Result<Optional<KeyValueEntry>>> get(String key);

    /** Reads all keys that begin with {@code prefix}, in order, at most a few hundred. */
    CompletableFuture<Result<List<KeyValueEntry>>> list(String prefix);

    /**
     * Writes a key if its revision is {@code expectedRevision}.
     *
     * @param expectedRevision the revision, or {@link #ABSENT}
     * @param ttlMillis the time to live in milliseconds, or {@link #NO_EXPIRY_MILLIS}
     */
    CompletableFuture<Result<WriteOutcome>> put(
            String key, byte[] value, long expectedRevision, long ttlMillis);

    /** Extends the lease of a key if its revision is still {@code revision}. */
    CompletableFuture<Result<WriteOutcome>> renew(String key, long revision, long ttlMillis);

    /** Deletes a key if its revision is {@code expectedRevision}. */
    CompletableFuture<Result<WriteOutcome>> delete(String key, long expectedRevision);

    /**
     * Waits until the key's revision is above {@code afterRevision} or {@code waitMillis} have
     * elapsed, and returns the entry that is stored then.
     */
    CompletableFuture<Result<Optional<KeyValueEntry>>> watch(
            String key, long afterRevision, long waitMillis);
}
