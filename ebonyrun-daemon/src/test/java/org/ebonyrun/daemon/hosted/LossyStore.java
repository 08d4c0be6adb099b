package org.ebonyrun.daemon.hosted;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StoreLease;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/**
 * A store as one process reaches it: while it is cut off no call arrives, and now and then a call
 * takes effect whose response is lost.
 *
 * <p>Not thread safe.
 */
final class LossyStore extends StubStore {
    private final SharedStore mStore;
    private final Random mRandom;
    private boolean mCut;
    // One of this many responses is lost; zero for none.
    private int mCallsPerLoss;

    LossyStore(SharedStore store, Random random) {
        mStore = store;
        mRandom = random;
    }

    void setCut(boolean cut) {
        mCut = cut;
    }

    boolean isCut() {
        return mCut;
    }

    void setCallsPerLoss(int calls) {
        mCallsPerLoss = calls;
    }

    private <T> CompletableFuture<Result<T>> call(Supplier<CompletableFuture<Result<T>>> call) {
        if (mCut) {
            return lost();
        }
        CompletableFuture<Result<T>> response = call.get();
        boolean isLost = mCallsPerLoss > 0 && mRandom.nextInt(mCallsPerLoss) == 0;
        return isLost ? lost() : response;
    }

    private static <T> CompletableFuture<Result<T>> lost() {
        Fault fault = Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "store", "", "no response");
        return CompletableFuture.completedFuture(Result.err(fault));
    }

    @Override
    public CompletableFuture<Result<Optional<StoreItem>>> get(String key) {
        return call(() -> mStore.get(key));
    }

    @Override
    public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
        return call(() -> mStore.range(prefix, after));
    }

    @Override
    public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
        return call(() -> mStore.commit(transaction));
    }

    @Override
    public CompletableFuture<Result<StoreLease>> grant(long ttlMillis) {
        return call(() -> mStore.grant(ttlMillis));
    }

    @Override
    public CompletableFuture<Result<Boolean>> renew(long lease) {
        return call(() -> mStore.renew(lease));
    }
}
