package org.ebonyrun.ports.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Result;

/**
 * The shared store of a deployment.
 *
 * <p>Implementations are thread safe and never block. Every call ends within a time limit. A fault
 * with outcome {@code unknown} on a write means that the write may have taken effect, or may still
 * take effect as long as its expectations hold.
 */
public interface SharedStore {
    /** Reads a key; the read is linearizable. */
    CompletableFuture<Result<Optional<StoreItem>>> get(String key);

    /**
     * Reads one page of the keys that begin with a prefix; the read is linearizable.
     *
     * @param after the key after which the page begins; empty for the first page
     */
    CompletableFuture<Result<StorePage>> range(String prefix, String after);

    /**
     * Waits until a key that begins with {@code prefix} changes.
     *
     * @param afterRevision the revision after which changes are returned
     * @param waitMillis how long to wait, in milliseconds
     * @param mayBeStale whether changes may be returned seconds late, which costs the store less
     */
    CompletableFuture<Result<StoreChanges>> watch(
            String prefix, long afterRevision, long waitMillis, boolean mayBeStale);

    /** Commits a transaction. */
    CompletableFuture<Result<CommitResult>> commit(Transaction transaction);

    /** Grants a lease. */
    CompletableFuture<Result<StoreLease>> grant(long ttlMillis);

    /** Renews a lease; returns false if it has ended. */
    CompletableFuture<Result<Boolean>> renew(long lease);

    /** Revokes a lease and removes the keys that are attached to it. */
    CompletableFuture<Result<Boolean>> revoke(long lease);
}
