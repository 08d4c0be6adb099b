package org.ebonyrun.ports.kv;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConditionalWriterTest {
    private static final byte[] OURS = "ours".getBytes(StandardCharsets.UTF_8);
    private static final byte[] THEIRS = "theirs".getBytes(StandardCharsets.UTF_8);

    /** A store of one key whose responses follow a script. */
    private static final class ScriptedStore implements KeyValueStore {
        private final Deque<String> mScript = new ArrayDeque<>();
        private byte @Nullable [] mValue;
        private long mRevision;

        @Override
        public CompletableFuture<Result<Optional<KeyValueEntry>>> get(String key) {
            if (next().equals("down")) {
                return done(Result.err(lost()));
            }
            return done(
                    Result.ok(
                            Optional.ofNullable(mValue)
                                    .map(value -> new KeyValueEntry(key, value, mRevision))));
        }

        @Override
        public CompletableFuture<Result<WriteOutcome>> put(
                String key, byte[] value, long expectedRevision, long ttlMillis) {
            String step = next();
            if (step.equals("theirs")) {
                mValue = THEIRS;
                mRevision++;
            }
            boolean applies = !step.equals("down") && mRevision == expectedRevision;
            if (applies) {
                mValue = value;
                mRevision++;
            }
            boolean answered = step.equals("ok") || step.equals("theirs");
            WriteOutcome outcome = new WriteOutcome(applies, mRevision);
            return done(answered ? Result.ok(outcome) : Result.err(lost()));
        }

        @Override
        public CompletableFuture<Result<List<KeyValueEntry>>> list(String prefix) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Result<WriteOutcome>> renew(String key, long rev, long ttl) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Result<WriteOutcome>> delete(String key, long revision) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Result<Optional<KeyValueEntry>>> watch(
                String key, long after, long wait) {
            throw new UnsupportedOperationException();
        }

        private String next() {
            return mScript.isEmpty() ? "ok" : mScript.pop();
        }

        private static Fault lost() {
            return Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "kv", "", "lost");
        }

        private static <T> CompletableFuture<T> done(T value) {
            return CompletableFuture.completedFuture(value);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "ok, applied",
        "theirs, refused",
        "lost, applied",
        "down, applied",
        "down down, unknown",
        "lost down, unknown",
        "down ok lost, applied",
        "down ok theirs, refused",
        "down ok down ok down ok, unknown"
    })
    void determinesTheOutcomeOfAWrite(String script, String expected) {
        ScriptedStore store = new ScriptedStore();
        store.mScript.addAll(List.of(script.split(" ")));
        Result<WriteOutcome> result =
                ConditionalWriter.create(store)
                        .put("key", OURS, 0, 0, value -> Arrays.equals(value, OURS))
                        .join();
        String reported =
                result.fold(outcome -> outcome.applied() ? "applied" : "refused", f -> "unknown");
        assertThat(reported, is(expected));
        boolean stored = Arrays.equals(store.mValue, OURS);
        assertThat(reported.equals("unknown") || stored == reported.equals("applied"), is(true));
    }
}
