package org.ebonyrun.ports.kv;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TokenBucketTest {
    @ParameterizedTest
    @CsvSource({"0, 0", "100, 1", "1000, 10", "100000, 20"})
    void earnsCallsWithTimeUpToItsBurst(long millis, int expected) {
        TokenBucket budget = TokenBucket.create(10, 20);
        while (budget.tryAcquire(0)) {
            // Uses the budget up.
        }
        int taken = 0;
        while (budget.tryAcquire(Nanos.ofMillis(millis))) {
            taken++;
        }
        assertThat(taken, is(expected));
    }

    @Test
    void beginsFull() {
        TokenBucket budget = TokenBucket.create(1, 2);
        assertThat(budget.tryAcquire(0), is(true));
        assertThat(budget.tryAcquire(0), is(true));
        assertThat(budget.tryAcquire(0), is(false));
    }
}
