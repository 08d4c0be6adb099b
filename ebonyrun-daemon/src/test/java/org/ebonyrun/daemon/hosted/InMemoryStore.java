package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StoreLease;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/**
 * A store that keeps its items in memory and completes each call at once. Several processes may
 * share it; a test ends their leases.
 *
 * <p>Not thread safe.
 */
final class InMemoryStore extends StubStore {
    private static final long TTL_MILLIS = 60_000;
    private static final long DAY_MILLIS = 86_400_000;

    private final TreeMap<String, StoreItem> mItems = new TreeMap<>();
    // By lease, its time to live in milliseconds.
    private final Map<Long, Long> mLeases = new HashMap<>();
    private long mRevision;
    private long mTtlMillis = TTL_MILLIS;
    private boolean mUnreadable;

    /** Sets for how long the leases hold that are granted from now on. */
    void setTtl(long millis) {
        mTtlMillis = millis;
    }

    /** Sets whether reads of the data of steps get no response. */
    void setUnreadable(boolean unreadable) {
        mUnreadable = unreadable;
    }

    /** Ends all leases, which removes the keys that are attached to one. */
    void endLeases() {
        mLeases.clear();
        mItems.values().removeIf(item -> item.lease() != 0);
        mRevision++;
    }

    /**
     * Ends all leases but the given ones, as if time had passed in which only those were renewed.
     */
    void retainLeases(Set<Long> leases) {
        mLeases.keySet().retainAll(leases);
        mItems.values().removeIf(item -> item.lease() != 0 && !mLeases.containsKey(item.lease()));
        mRevision++;
    }

    /** Ends the leases that were granted without time to live and were not renewed since. */
    void endLapsedLeases() {
        mLeases.values().removeIf(ttl -> ttl == 0);
        mItems.values().removeIf(item -> item.lease() != 0 && !mLeases.containsKey(item.lease()));
        mRevision++;
    }

    /** Writes a key that does not expire. */
    void put(String key, byte[] value) {
        mItems.put(key, new StoreItem(key, value, ++mRevision, 0));
    }

    /** Returns the items whose keys begin with a prefix, in the order of their keys. */
    List<StoreItem> items(String prefix) {
        return mItems.values().stream().filter(item -> item.key().startsWith(prefix)).toList();
    }

    @Override
    public CompletableFuture<Result<Optional<StoreItem>>> get(String key) {
        return completed(Optional.ofNullable(mItems.get(key)));
    }

    @Override
    public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
        if (mUnreadable && prefix.startsWith("ebonyrun/data/")) {
            Fault fault = Fault.notRun(FaultCode.PLATFORM_UNAVAILABLE, "store.range", "", "silent");
            return CompletableFuture.completedFuture(Result.err(fault));
        }
        List<StoreItem> items =
                items(prefix).stream().filter(item -> item.key().compareTo(after) > 0).toList();
        return completed(new StorePage(items, false, mRevision));
    }

    @Override
    public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
        List<StoreItem> current = new ArrayList<>();
        boolean holds = true;
        for (Transaction.Expectation expectation : transaction.expectations()) {
            StoreItem item = mItems.get(expectation.key());
            if (item != null) {
                current.add(item);
            }
            holds &= expectation.revision() == (item == null ? 0 : item.revision());
        }
        if (!holds) {
            return completed(new CommitResult(CommitOutcome.CONFLICT, 0, current));
        }
        for (Transaction.Write write : transaction.writes()) {
            if (write.lease() != 0 && !mLeases.containsKey(write.lease())) {
                return completed(new CommitResult(CommitOutcome.LEASE_ENDED, 0, List.of()));
            }
        }
        mRevision++;
        for (Transaction.Write write : transaction.writes()) {
            StoreItem item = new StoreItem(write.key(), write.value(), mRevision, write.lease());
            mItems.put(write.key(), item);
        }
        transaction.removals().forEach(mItems::remove);
        return completed(new CommitResult(CommitOutcome.COMMITTED, mRevision, List.of()));
    }

    @Override
    public CompletableFuture<Result<StoreLease>> grant(long ttlMillis) {
        long id = ++mRevision;
        mLeases.put(id, mTtlMillis);
        // A response that comes a day late shows a lease that has ended by any clock of a test.
        return completed(new StoreLease(id, mTtlMillis == 0 ? -DAY_MILLIS : mTtlMillis));
    }

    @Override
    public CompletableFuture<Result<Boolean>> renew(long lease) {
        return completed(mLeases.computeIfPresent(lease, (id, ttl) -> TTL_MILLIS) != null);
    }

    private static <T> CompletableFuture<Result<T>> completed(T value) {
        return CompletableFuture.completedFuture(Result.ok(value));
    }
}
