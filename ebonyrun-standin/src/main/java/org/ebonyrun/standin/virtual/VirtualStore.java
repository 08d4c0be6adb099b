package org.ebonyrun.standin.virtual;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.ports.kv.KeyValueEntry;
import org.ebonyrun.ports.kv.KeyValueStore;
import org.ebonyrun.ports.kv.WriteOutcome;
import org.ebonyrun.standin.platform.KeyValueTable;

/** A key-value service in virtual time that injects faults. Not thread safe. */
public final class VirtualStore implements KeyValueStore {
    private static final long LATENCY_NANOS = Nanos.ofMillis(2);
    private static final long TIMEOUT_NANOS = Nanos.ofMillis(2_000);
    private static final long SLOW_LATENCY_NANOS = Nanos.ofMillis(1_500);

    private final VirtualClock mClock;
    private final KeyValueTable mTable = new KeyValueTable();
    private long mDownUntil;
    private long mSlowUntil;
    private int mResponsesToDrop;
    private long mCallCount;

    VirtualStore(VirtualClock clock) {
        mClock = clock;
    }

    /** Makes every call time out without effect until the given time, in nanoseconds. */
    void setDownUntil(long time) {
        mDownUntil = time;
    }

    /** Makes every call take 1.5 s until the given time, in nanoseconds. */
    void setSlowUntil(long time) {
        mSlowUntil = time;
    }

    /** Drops the responses to the next writes; the writes take effect. */
    void dropResponses(int count) {
        mResponsesToDrop = count;
    }

    /** Returns the number of calls so far. */
    public long callCount() {
        return mCallCount;
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> get(String key) {
        return call(false, () -> Optional.ofNullable(mTable.get(key, nowMillis())));
    }

    @Override
    public CompletableFuture<Result<List<KeyValueEntry>>> list(String prefix) {
        return call(false, () -> mTable.list(prefix, nowMillis()));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> put(
            String key, byte[] value, long expectedRevision, long ttlMillis) {
        return call(true, () -> mTable.put(key, value, expectedRevision, ttlMillis, nowMillis()));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> renew(
            String key, long revision, long ttlMillis) {
        return call(true, () -> mTable.renew(key, revision, ttlMillis, nowMillis()));
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> delete(String key, long expectedRevision) {
        return call(true, () -> mTable.delete(key, expectedRevision, nowMillis()));
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> watch(
            String key, long afterRevision, long waitMillis) {
        CompletableFuture<Result<Optional<KeyValueEntry>>> future = new CompletableFuture<>();
        long deadline = mClock.now() + Nanos.ofMillis(waitMillis);
        pollWatch(key, afterRevision, deadline, future);
        return future;
    }

    private void pollWatch(
            String key,
            long after,
            long deadline,
            CompletableFuture<Result<Optional<KeyValueEntry>>> future) {
        if (mClock.now() < mDownUntil) {
            mClock.schedule(TIMEOUT_NANOS, () -> future.complete(Result.err(unavailable())));
            return;
        }
        KeyValueEntry entry = mTable.get(key, nowMillis());
        boolean newer = entry != null && entry.revision() > after;
        if (newer || mClock.now() >= deadline) {
            future.complete(Result.ok(Optional.ofNullable(entry)));
        } else {
            mClock.schedule(Nanos.ofMillis(100), () -> pollWatch(key, after, deadline, future));
        }
    }

    private <T> CompletableFuture<Result<T>> call(boolean write, Supplier<T> action) {
        mCallCount++;
        CompletableFuture<Result<T>> future = new CompletableFuture<>();
        long now = mClock.now();
        if (now < mDownUntil) {
            mClock.schedule(TIMEOUT_NANOS, () -> future.complete(Result.err(unavailable())));
            return future;
        }
        long latency = now < mSlowUntil ? SLOW_LATENCY_NANOS : LATENCY_NANOS;
        mClock.schedule(latency / 2, () -> perform(write, action, latency / 2, future));
        return future;
    }

    private <T> void perform(
            boolean write,
            Supplier<T> action,
            long responseLatency,
            CompletableFuture<Result<T>> future) {
        T value = action.get();
        if (write && mResponsesToDrop > 0) {
            mResponsesToDrop--;
            mClock.schedule(TIMEOUT_NANOS, () -> future.complete(Result.err(unavailable())));
        } else {
            mClock.schedule(responseLatency, () -> future.complete(Result.ok(value)));
        }
    }

    private long nowMillis() {
        return Nanos.toMillis(mClock.now());
    }

    private static Fault unavailable() {
        return Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "key-value", "", "timeout");
    }
}
