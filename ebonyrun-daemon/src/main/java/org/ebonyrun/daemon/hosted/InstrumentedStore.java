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
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StoreLease;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/**
 * Decorates a store: counts the calls by their kind, reports the calls that failed, and tells when
 * the store last responded.
 *
 * <p>Watches are counted but their faults are not reported: a watch may wait for long before it
 * fails, and {@link StoreWatch} reports its faults itself. Thread safe if the decorated store is.
 */
final class InstrumentedStore implements SharedStore {
    private final SharedStore mDelegate;
    private final Consumer<Fault> mOnFault;
    private final MonotonicClock mClock;
    private final Map<String, LongAdder> mCounts = new ConcurrentHashMap<>();
    private volatile long mRespondedAt;

    /**
     * Decorates a store.
     *
     * @param onFault receives the fault of each failed call except watches, on any thread
     */
    InstrumentedStore(SharedStore store, Consumer<Fault> onFault) {
        this(store, onFault, MonotonicClock.system());
    }

    /** Decorates a store, and measures time by a clock. */
    InstrumentedStore(SharedStore store, Consumer<Fault> onFault, MonotonicClock clock) {
        mDelegate = store;
        mOnFault = onFault;
        mClock = clock;
        mRespondedAt = clock.nanoTime();
    }

    /**
     * Returns when the store last responded to a call, by the clock; the time of creation if it has
     * not yet. Reads that may be stale do not count, since they may be answered in an outage.
     */
    long respondedAt() {
        return mRespondedAt;
    }

    /** Returns the number of calls made, by kind. */
    Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>();
        mCounts.forEach((kind, count) -> counts.put(kind, count.sum()));
        return counts;
    }

    private void count(String kind) {
        mCounts.computeIfAbsent(kind, ignored -> new LongAdder()).increment();
    }

    private <T> CompletableFuture<Result<T>> reportingFaults(CompletableFuture<Result<T>> call) {
        return call.thenApply(
                result ->
                        result.fold(
                                value -> noteResponse(result),
                                fault -> {
                                    mOnFault.accept(fault);
                                    return result;
                                }));
    }

    private <T> Result<T> noteResponse(Result<T> result) {
        mRespondedAt = mClock.nanoTime();
        return result;
    }

    @Override
    public CompletableFuture<Result<Optional<StoreItem>>> get(String key) {
        count("get");
        return reportingFaults(mDelegate.get(key));
    }

    @Override
    public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
        count("range");
        return reportingFaults(mDelegate.range(prefix, after));
    }

    @Override
    public CompletableFuture<Result<StoreChanges>> watch(
            String prefix, long afterRevision, long waitMillis, boolean mayBeStale) {
        count(mayBeStale ? "watch_stale" : "watch");
        return mDelegate
                .watch(prefix, afterRevision, waitMillis, mayBeStale)
                .thenApply(result -> result.isOk() && !mayBeStale ? noteResponse(result) : result);
    }

    @Override
    public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
        count("commit");
        return reportingFaults(mDelegate.commit(transaction));
    }

    @Override
    public CompletableFuture<Result<StoreLease>> grant(long ttlMillis) {
        count("grant");
        return reportingFaults(mDelegate.grant(ttlMillis));
    }

    @Override
    public CompletableFuture<Result<Boolean>> renew(long lease) {
        count("renew");
        return reportingFaults(mDelegate.renew(lease));
    }

    @Override
    public CompletableFuture<Result<Boolean>> revoke(long lease) {
        count("end");
        return reportingFaults(mDelegate.revoke(lease));
    }
}
