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

/** A key-value service in virtual time, with faults. Not thread safe. */
public final class VirtualStore implements KeyValueStore {
    private static final long LATENCY_NANOS = Nanos.ofMillis(2);
    private static final long TIMEOUT_NANOS = Nanos.ofMillis(2_000);
    private static final long SLOW_NANOS = Nanos.ofMillis(1_500);

    private final VirtualClock mTime;
    private final KeyValueTable mTable = new KeyValueTable();
    private long mDownUntil;
    private long mSlowUntil;
    private int mAnswersToLose;
    private long mCalls;

    VirtualStore(VirtualClock time) {
        mTime = time;
    }

    /** Lets every call time out until the given time; none takes effect. */
    void setDownUntil(long time) {
        mDownUntil = time;
    }

    /** Lets every call take long until the given time. */
    void setSlowUntil(long time) {
        mSlowUntil = time;
    }

    /** Loses the answers to the next writes, which take effect. */
    void dropResponses(int count) {
        mAnswersToLose = count;
    }

    /** Returns how many calls were made. */
    public long callCount() {
        return mCalls;
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
        CompletableFuture<Result<Optional<KeyValueEntry>>> answer = new CompletableFuture<>();
        long deadline = mTime.now() + Nanos.ofMillis(waitMillis);
        pollWatch(key, afterRevision, deadline, answer);
        return answer;
    }

    private void pollWatch(
            String key,
            long after,
            long deadline,
            CompletableFuture<Result<Optional<KeyValueEntry>>> answer) {
        if (mTime.now() < mDownUntil) {
            mTime.schedule(TIMEOUT_NANOS, () -> answer.complete(Result.err(unavailable())));
            return;
        }
        KeyValueEntry entry = mTable.get(key, nowMillis());
        boolean newer = entry != null && entry.revision() > after;
        if (newer || mTime.now() >= deadline) {
            answer.complete(Result.ok(Optional.ofNullable(entry)));
        } else {
            mTime.schedule(Nanos.ofMillis(100), () -> pollWatch(key, after, deadline, answer));
        }
    }

    private <T> CompletableFuture<Result<T>> call(boolean write, Supplier<T> action) {
        mCalls++;
        CompletableFuture<Result<T>> answer = new CompletableFuture<>();
        long now = mTime.now();
        if (now < mDownUntil) {
            mTime.schedule(TIMEOUT_NANOS, () -> answer.complete(Result.err(unavailable())));
            return answer;
        }
        long latency = now < mSlowUntil ? SLOW_NANOS : LATENCY_NANOS;
        mTime.schedule(latency / 2, () -> perform(write, action, latency / 2, answer));
        return answer;
    }

    private <T> void perform(
            boolean write, Supplier<T> action, long wayBack, CompletableFuture<Result<T>> answer) {
        T value = action.get();
        if (write && mAnswersToLose > 0) {
            mAnswersToLose--;
            mTime.schedule(TIMEOUT_NANOS, () -> answer.complete(Result.err(unavailable())));
        } else {
            mTime.schedule(wayBack, () -> answer.complete(Result.ok(value)));
        }
    }

    private long nowMillis() {
        return Nanos.toMillis(mTime.now());
    }

    private static Fault unavailable() {
        return Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "key-value", "", "timeout");
    }
}
