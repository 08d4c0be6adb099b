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
 * Protects the key-value service with a circuit breaker and a rate limit, so that calls do not pile
 * up during an outage and a busy process does not exceed its share of the service's rate. A call
 * that the circuit breaker or the rate limit does not allow fails immediately, as not run.
 *
 * <p>Thread safe: the circuit breaker and the token bucket are guarded by this object's monitor.
 */
public final class ResilientKeyValueStore implements KeyValueStore {
    private static final double CALLS_PER_SECOND = 50;
    private static final double BURST = 200;
    private static final long RETRY_MILLIS = 500;

    private final KeyValueStore mStore;
    private final MonotonicClock mClock;
    private final CircuitBreaker mCircuitBreaker;
    private final TokenBucket mRateLimit = TokenBucket.create(CALLS_PER_SECOND, BURST);

    private ResilientKeyValueStore(
            KeyValueStore store, MonotonicClock clock, RandomGenerator random) {
        mStore = store;
        mClock = clock;
        mCircuitBreaker = CircuitBreaker.create(random);
    }

    /** Creates a protected view of a store. */
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
        String reason = denialReason();
        if (!reason.isEmpty()) {
            return CompletableFuture.completedFuture(Result.err(notAllowed(reason)));
        }
        return call.get().whenComplete((result, error) -> onEnd(error == null && result.isOk()));
    }

    private synchronized String denialReason() {
        long now = mClock.nanoTime();
        if (!mCircuitBreaker.tryAcquire(now)) {
            return "the key-value service does not respond; the circuit breaker is open";
        }
        return mRateLimit.tryAcquire(now) ? "" : "the rate limit of this process is exceeded";
    }

    private synchronized void onEnd(boolean succeeded) {
        if (succeeded) {
            mCircuitBreaker.onSuccess();
        } else {
            mCircuitBreaker.onFailure(mClock.nanoTime());
        }
    }

    private static Fault notAllowed(String detail) {
        return new Fault(
                FaultCode.PLATFORM_UNAVAILABLE,
                Outcome.NOT_RUN,
                "key-value.guard",
                "",
                detail,
                RETRY_MILLIS);
    }
}
