package org.ebonyrun.daemon.store;

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
 * Reads and replaces the operators' configuration in the key-value service.
 *
 * <p>Invariant: each accepted change increases the version by one.
 *
 * <p>Thread safe.
 */
public final class ConfigStore {
    private static final String KEY = "config/current";
    private static final String HISTORY_PREFIX = "config/history/";
    private static final String STEP = "config.write";

    private final KeyValueStore mStore;
    private final ConditionalWriter mWriter;

    private ConfigStore(KeyValueStore store) {
        mStore = store;
        mWriter = ConditionalWriter.create(store);
    }

    /** Creates a configuration store on top of a key-value store. */
    public static ConfigStore create(KeyValueStore store) {
        return new ConfigStore(store);
    }

    /**
     * The current configuration and the revision of its key.
     *
     * @param config the configuration
     * @param revision the revision of its key; {@link KeyValueStore#ABSENT} before the first change
     */
    public record CurrentConfig(StoredConfig config, long revision) {}

    /** Reads the current configuration. */
    public CompletableFuture<Result<CurrentConfig>> read() {
        return mStore.get(KEY).thenApply(result -> result.map(ConfigStore::toCurrent));
    }

    /** Waits for a configuration that is newer than the given revision. */
    public CompletableFuture<Result<CurrentConfig>> watch(long afterRevision, long waitMillis) {
        return mStore.watch(KEY, afterRevision, waitMillis)
                .thenApply(result -> result.map(ConfigStore::toCurrent));
    }

    /**
     * Replaces the configuration if its version is still {@code expectedVersion}.
     *
     * @param nonce identifies this change, so that it is recognized if the response to the write
     *     was lost
     * @return the stored configuration, or a fault with the outcome {@code not-run} (another change
     *     came first, or the configuration could not be read) or {@code unknown}
     */
    public CompletableFuture<Result<StoredConfig>> replace(
            long expectedVersion, String author, String text, String nonce) {
        return read().thenCompose(
                        result ->
                                result.fold(
                                        current ->
                                                replace(
                                                        current,
                                                        expectedVersion,
                                                        author,
                                                        text,
                                                        nonce),
                                        fault -> completed(Result.err(cannotRead(fault)))));
    }

    /** Reads an earlier version. */
    public CompletableFuture<Result<Optional<StoredConfig>>> readVersion(long version) {
        return mStore.get(HISTORY_PREFIX + version)
                .thenApply(
                        result ->
                                result.map(
                                        entry ->
                                                entry.map(
                                                        found ->
                                                                Json.read(
                                                                        found.value(),
                                                                        StoredConfig.class))));
    }

    private CompletableFuture<Result<StoredConfig>> replace(
            CurrentConfig current, long expectedVersion, String author, String text, String nonce) {
        if (current.config().nonces().contains(nonce)) {
            return completed(Result.ok(current.config()));
        }
        if (current.config().version() != expectedVersion) {
            return completed(Result.err(conflict(current.config())));
        }
        StoredConfig next = current.config().next(author, text, nonce);
        return mWriter.put(
                        KEY,
                        Json.write(next),
                        current.revision(),
                        KeyValueStore.NO_EXPIRY_MILLIS,
                        stored -> Json.read(stored, StoredConfig.class).nonces().contains(nonce))
                .thenCompose(
                        result ->
                                result.fold(
                                        outcome -> onWriteOutcome(outcome, next),
                                        fault -> completed(Result.err(fault))));
    }

    private CompletableFuture<Result<StoredConfig>> onWriteOutcome(
            WriteOutcome outcome, StoredConfig next) {
        if (outcome.applied()) {
            mStore.put(
                    HISTORY_PREFIX + next.version(),
                    Json.write(next),
                    KeyValueStore.ABSENT,
                    KeyValueStore.NO_EXPIRY_MILLIS);
            return completed(Result.ok(next));
        }
        return read().thenApply(
                        result -> result.flatMap(now -> Result.err(conflict(now.config()))));
    }

    private static Fault conflict(StoredConfig current) {
        String detail =
                "version " + current.version() + " by " + current.author() + " is already in force";
        return Fault.notRun(FaultCode.CONFLICT, STEP, current.author(), detail);
    }

    private static Fault cannotRead(Fault fault) {
        return Fault.notRun(
                FaultCode.PLATFORM_UNAVAILABLE,
                STEP,
                fault.peer(),
                "cannot read the configuration: " + fault.detail());
    }

    private static CurrentConfig toCurrent(Optional<KeyValueEntry> entry) {
        return entry.map(
                        found ->
                                new CurrentConfig(
                                        Json.read(found.value(), StoredConfig.class),
                                        found.revision()))
                .orElseGet(() -> new CurrentConfig(StoredConfig.none(), KeyValueStore.ABSENT));
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
