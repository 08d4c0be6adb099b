package org.ebonyrun.daemon.hosted;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StoreLease;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/**
 * Counts the calls to a store by their kind, and tells which of them got no proper answer.
 *
 * <p>Watches are told of by whoever watches, since their silence is found late. Thread safe if the
 * store behind it is.
 */
final class InstrumentedStore implements SharedStore {
    private final SharedStore mStore;
    private final Consumer<Fault> mOnFault;
    private final Map<String, LongAdder> mCounts = new ConcurrentHashMap<>();

    /**
     * Observes the calls to a store.
     *
     * @param onFault hears of each call but a watch that got no proper answer, on any thread
     */
    InstrumentedStore(SharedStore store, Consumer<Fault> onFault) {
        mStore = store;
        mOnFault = onFault;
    }

    /** Returns how many calls of each kind were made. */
    Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>();
        mCounts.forEach((kind, count) -> counts.put(kind, count.sum()));
        return counts;
    }

    private void count(String kind) {
        mCounts.computeIfAbsent(kind, ignored -> new LongAdder()).increment();
    }

    private <T> CompletableFuture<Result<T>> observed(CompletableFuture<Result<T>> call) {
        return call.thenApply(
                result ->
                        result.fold(
                                value -> result,
                                fault -> {
                                    mOnFault.accept(fault);
                                    return result;
                                }));
    }

    @Override
    public CompletableFuture<Result<Optional<StoreItem>>> get(String key) {
        count("get");
        return observed(mStore.get(key));
    }

    @Override
    public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
        count("range");
        return observed(mStore.range(prefix, after));
    }

    @Override
    public CompletableFuture<Result<StoreChanges>> watch(
            String prefix, long afterRevision, long waitMillis) {
        count("watch");
        return mStore.watch(prefix, afterRevision, waitMillis);
    }

    @Override
    public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
        count("commit");
        return observed(mStore.commit(transaction));
    }

    @Override
    public CompletableFuture<Result<StoreLease>> grant(long ttlMillis) {
        count("grant");
        return observed(mStore.grant(ttlMillis));
    }

    @Override
    public CompletableFuture<Result<Boolean>> renew(long lease) {
        count("renew");
        return observed(mStore.renew(lease));
    }

    @Override
    public CompletableFuture<Result<Boolean>> revoke(long lease) {
        count("end");
        return observed(mStore.revoke(lease));
    }
}
