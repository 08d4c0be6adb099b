package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ResultCacheTest {
    private static List<SampleResult> results(int count, int textBytes) {
        List<SampleResult> results = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            results.add(new SampleResult("s" + i, true, "x".repeat(textBytes), List.of(1), ""));
        }
        return results;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theWindowsOfAnyStepsTakeTheGivenBytesAtMost(long seed) {
        Random random = new Random(seed);
        long maxBytes = 1 + random.nextInt(100_000);
        // With short texts the number of steps is what evicts, with long ones their size.
        int maxTextBytes = seed % 2 == 0 ? 4_000 : 40;
        ResultCache cache = new ResultCache(maxBytes);
        Set<ResultWindow> windows = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            ResultWindow window = cache.window(StepId.of("step-" + random.nextInt(60)));
            windows.add(window);
            int end = window.end() + random.nextInt(8);
            window.adopt(results(end, random.nextInt(maxTextBytes)));
            cache.trim();

            assertThat(window.end(), is(end));
            // Also those that a read still refers to after their eviction.
            long bytes = windows.stream().mapToLong(ResultWindow::bytes).sum();
            assertThat(bytes, lessThanOrEqualTo(maxBytes));
        }
    }

    @ParameterizedTest
    @CsvSource({"0, true", "1, false"})
    void theStepThatWasUsedLeastRecentlyGoesFirst(int used, boolean firstStays) {
        ResultCache cache = new ResultCache(25_000);
        List<StepId> steps = List.of(StepId.of("a"), StepId.of("b"));
        steps.forEach(step -> cache.window(step).adopt(results(10, 1_000)));
        cache.trim();
        cache.window(steps.get(used));
        cache.window(StepId.of("c")).adopt(results(10, 1_000));
        cache.trim();

        assertThat(cache.window(steps.get(0)).size() == 10, is(firstStays));
        assertThat(cache.window(StepId.of("c")).size(), is(10));
        assertThat(cache.bytes(), greaterThan(12_000L));
    }
}
