package org.ebonyrun.daemon.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.daemon.admin.NodeMetrics;
import org.ebonyrun.ports.kv.KeyValueEntry;
import org.ebonyrun.ports.kv.KeyValueStore;
import org.ebonyrun.ports.kv.WriteOutcome;

/** Counts the calls to a key-value store by kind and success. Thread safe. */
final class InstrumentedKeyValueStore implements KeyValueStore {
    private final KeyValueStore mStore;
    private final NodeMetrics mMetrics;

    InstrumentedKeyValueStore(KeyValueStore store, NodeMetrics metrics) {
        mStore = store;
        mMetrics = metrics;
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> get(String key) {
        return count("get", mStore.get(key));
    }

    @Override
    public CompletableFuture<Result<List<KeyValueEntry>>> list(String prefix) {
        return count("list", mStore.list(prefix));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> put(
            String key, byte[] value, long expectedRevision, long ttlMillis) {
        return count("put", mStore.put(key, value, expectedRevision, ttlMillis));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> renew(
            String key, long revision, long ttlMillis) {
        return count("renew", mStore.renew(key, revision, ttlMillis));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> delete(String key, long expectedRevision) {
        return count("delete", mStore.delete(key, expectedRevision));
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> watch(
            String key, long afterRevision, long waitMillis) {
        return count("watch", mStore.watch(key, afterRevision, waitMillis));
    }

    private <T> CompletableFuture<Result<T>> count(
            String kind, CompletableFuture<Result<T>> response) {
        return response.whenComplete(
                (result, error) ->
                        mMetrics.recordKeyValueCall(kind, error == null && result.isOk()));
    }
}
