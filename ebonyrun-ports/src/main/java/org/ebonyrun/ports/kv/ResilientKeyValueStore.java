package org.ebonyrun.ports.kv;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;

/**
 * Keeps an outage of the key-value service from piling up calls, and a busy process from taking
 * more than its part: a call that the circuit or the budget does not let pass is refused at once,
 * as not run.
 *
 * <p>Thread safe: the circuit and the budget are guarded by this object's monitor.
 */
public final class ResilientKeyValueStore implements KeyValueStore {
    private static final double CALLS_PER_SECOND = 50;
    private static final double BURST = 200;
    private static final long RETRY_MILLIS = 500;

    private final KeyValueStore mStore;
    private final MonotonicClock mClock;
    private final CircuitBreaker mCircuit;
    private final TokenBucket mBudget = TokenBucket.create(CALLS_PER_SECOND, BURST);

    private ResilientKeyValueStore(
            KeyValueStore store, MonotonicClock clock, RandomGenerator random) {
        mStore = store;
        mClock = clock;
        mCircuit = CircuitBreaker.create(random);
    }

    /** Creates a guard in front of a store. */
    public static ResilientKeyValueStore create(
            KeyValueStore store, MonotonicClock clock, RandomGenerator random) {
        return new ResilientKeyValueStore(store, clock, random);
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> get(String key) {
        return guard(() -> mStore.get(key));
    }

    @Override
    public CompletableFuture<Result<List<KeyValueEntry>>> list(String prefix) {
        return guard(() -> mStore.list(prefix));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> put(
            String key, byte[] value, long expectedRevision, long ttlMillis) {
        return guard(() -> mStore.put(key, value, expectedRevision, ttlMillis));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> renew(
            String key, long revision, long ttlMillis) {
        return guard(() -> mStore.renew(key, revision, ttlMillis));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> delete(String key, long expectedRevision) {
        return guard(() -> mStore.delete(key, expectedRevision));
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> watch(
            String key, long afterRevision, long waitMillis) {
        return guard(() -> mStore.watch(key, afterRevision, waitMillis));
    }

    private <T> CompletableFuture<Result<T>> guard(Supplier<CompletableFuture<Result<T>>> call) {
        String refusal = refusal();
        if (!refusal.isEmpty()) {
            return CompletableFuture.completedFuture(Result.err(refused(refusal)));
        }
        return call.get().whenComplete((result, error) -> onEnd(error == null && result.isOk()));
    }

    private synchronized String refusal() {
        long now = mClock.nanoTime();
        if (!mCircuit.tryAcquire(now)) {
            return "the service does not answer; its circuit is open";
        }
        return mBudget.tryAcquire(now) ? "" : "the process has used up its calls";
    }

    private synchronized void onEnd(boolean answered) {
        if (answered) {
            mCircuit.onSuccess();
        } else {
            mCircuit.onFailure(mClock.nanoTime());
        }
    }

    private static Fault refused(String detail) {
        return new Fault(
                FaultCode.PLATFORM_UNAVAILABLE,
                Outcome.NOT_RUN,
                "key-value.guard",
                "",
                detail,
                RETRY_MILLIS);
    }
}
