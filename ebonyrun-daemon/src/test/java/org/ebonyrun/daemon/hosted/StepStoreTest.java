package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StepStoreTest {
    private static final StepId STEP = StepId.of("step-1");

    /** Loads a step that has one data key beside its submission. */
    private static Result<StoredStep> load(String key, String value) {
        StoreItem chunk =
                new StoreItem(StoreKeys.dataPrefix(STEP) + "chunk/0", new byte[] {1, 2}, 1, 0);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        StoreItem other = new StoreItem(StoreKeys.dataPrefix(STEP) + key, bytes, 2, 0);
        StubStore store =
                new StubStore() {
                    @Override
                    public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
                        StorePage page = new StorePage(List.of(chunk, other), false, 2);
                        return CompletableFuture.completedFuture(Result.ok(page));
                    }
                };
        return new StepStore(store).load(STEP).join();
    }

    @ParameterizedTest
    @CsvSource({
        "of-a-later-release, anything, true",
        "partial, not a checkpoint, false",
        "result/00000000, not a result, false"
    })
    void anUnknownKeyIsIgnoredAndAMalformedValueIsAFault(
            String key, String value, boolean expected) {
        Result<StoredStep> loaded = load(key, value);

        assertThat(loaded.isOk(), is(expected));
        assertThat(loaded.fold(step -> step.submission().length, fault -> 0), is(expected ? 2 : 0));
    }
}
