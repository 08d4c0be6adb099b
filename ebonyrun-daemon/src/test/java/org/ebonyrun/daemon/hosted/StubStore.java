package org.ebonyrun.daemon.hosted;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StoreLease;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/** A base class of fake stores: a test overrides the calls that it expects, all others fail. */
class StubStore implements SharedStore {
    @Override
    public CompletableFuture<Result<Optional<StoreItem>>> get(String key) {
        throw new UnsupportedOperationException("get " + key);
    }

    @Override
    public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
        throw new UnsupportedOperationException("range " + prefix);
    }

    @Override
    public CompletableFuture<Result<StoreChanges>> watch(
            String prefix, long afterRevision, long waitMillis, boolean mayBeStale) {
        throw new UnsupportedOperationException("watch " + prefix);
    }

    @Override
    public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
        throw new UnsupportedOperationException("commit");
    }

    @Override
    public CompletableFuture<Result<StoreLease>> grant(long ttlMillis) {
        throw new UnsupportedOperationException("grant");
    }

    @Override
    public CompletableFuture<Result<Boolean>> renew(long lease) {
        throw new UnsupportedOperationException("renew");
    }

    @Override
    public CompletableFuture<Result<Boolean>> revoke(long lease) {
        throw new UnsupportedOperationException("end");
    }
}
