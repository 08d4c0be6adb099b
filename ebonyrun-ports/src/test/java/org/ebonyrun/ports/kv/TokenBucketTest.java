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
    void refillsOverTimeUpToItsBurst(long millis, int expected) {
        TokenBucket bucket = TokenBucket.create(10, 20);
        while (bucket.tryAcquire(0)) {
            // Empties the bucket.
        }
        int acquired = 0;
        while (bucket.tryAcquire(Nanos.ofMillis(millis))) {
            acquired++;
        }
        assertThat(acquired, is(expected));
    }

    @Test
    void startsFull() {
        TokenBucket bucket = TokenBucket.create(1, 2);
        assertThat(bucket.tryAcquire(0), is(true));
        assertThat(bucket.tryAcquire(0), is(true));
        assertThat(bucket.tryAcquire(0), is(false));
    }
}
