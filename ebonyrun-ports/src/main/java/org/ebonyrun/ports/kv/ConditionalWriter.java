package org.ebonyrun.ports.kv;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;

/**
 * Writes conditionally and determines the outcome of a write whose response was lost.
 *
 * <p>After a lost response, the key is read back. If the stored value carries this write's mark,
 * the write took effect. If another revision is stored without the mark, the write did not take
 * effect and never will, because the expected revision is no longer current. If the expected
 * revision is still stored, the same write is sent again, which is safe because it is conditional.
 * After {@value #MAX_ATTEMPTS} attempts, the outcome is unknown.
 *
 * <p>Immutable and thread safe.
 */
public final class ConditionalWriter {
    private static final int MAX_ATTEMPTS = 3;

    private final KeyValueStore mStore;

    private ConditionalWriter(KeyValueStore store) {
        mStore = store;
    }

    /** Creates a writer to a store. */
    public static ConditionalWriter create(KeyValueStore store) {
        return new ConditionalWriter(store);
    }

    /**
     * Writes a value if the key's revision is {@code expectedRevision}.
     *
     * @param isOurs whether a stored value carries the mark of this write
     */
    public CompletableFuture<Result<WriteOutcome>> put(
            String key,
            byte[] value,
            long expectedRevision,
            long ttlMillis,
            Predicate<byte[]> isOurs) {
        return new Write(key, value, expectedRevision, ttlMillis, isOurs).run(1);
    }

    /** One write and its attempts. Immutable. */
    private final class Write {
        private final String mKey;
        private final byte[] mValue;
        private final long mExpected;
        private final long mTtlMillis;
        private final Predicate<byte[]> mIsOurs;

        Write(String key, byte[] value, long expected, long ttlMillis, Predicate<byte[]> isOurs) {
            mKey = key;
            mValue = value;
            mExpected = expected;
            mTtlMillis = ttlMillis;
            mIsOurs = isOurs;
        }

        CompletableFuture<Result<WriteOutcome>> run(int attempt) {
            return mStore.put(mKey, mValue, mExpected, mTtlMillis)
                    .thenCompose(
                            result ->
                                    result.fold(
                                            outcome -> onOutcome(outcome, attempt),
                                            fault -> onFault(fault, attempt)));
        }

        /** After a lost response, a conflict may be caused by an earlier attempt of this write. */
        private CompletableFuture<Result<WriteOutcome>> onOutcome(
                WriteOutcome outcome, int attempt) {
            if (outcome.applied() || attempt == 1) {
                return CompletableFuture.completedFuture(Result.ok(outcome));
            }
            Fault lost = unknown("the response to an earlier attempt was lost");
            return readBack(lost, MAX_ATTEMPTS);
        }

        private CompletableFuture<Result<WriteOutcome>> onFault(Fault fault, int attempt) {
            if (fault.isNotRun() && attempt == 1) {
                return CompletableFuture.completedFuture(Result.err(fault));
            }
            return readBack(fault, attempt);
        }

        private CompletableFuture<Result<WriteOutcome>> readBack(Fault fault, int attempt) {
            return mStore.get(mKey)
                    .thenCompose(
                            result ->
                                    result.fold(
                                            entry -> onStored(entry, fault, attempt),
                                            lost -> unresolved(fault)));
        }

        private CompletableFuture<Result<WriteOutcome>> onStored(
                Optional<KeyValueEntry> entry, Fault fault, int attempt) {
            long revision = entry.map(KeyValueEntry::revision).orElse(KeyValueStore.ABSENT);
            if (entry.isPresent() && mIsOurs.test(entry.get().value())) {
                return done(new WriteOutcome(true, revision));
            }
            if (revision != mExpected) {
                return done(new WriteOutcome(false, revision));
            }
            return attempt < MAX_ATTEMPTS ? run(attempt + 1) : unresolved(fault);
        }

        private CompletableFuture<Result<WriteOutcome>> done(WriteOutcome outcome) {
            return CompletableFuture.completedFuture(Result.ok(outcome));
        }

        private CompletableFuture<Result<WriteOutcome>> unresolved(Fault fault) {
            return CompletableFuture.completedFuture(Result.err(unknown(fault.detail())));
        }

        private Fault unknown(String detail) {
            return Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "key-value.write", mKey, detail);
        }
    }
}
