package org.ebonyrun.ports.kv;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;

class CircuitBreakerTest {
    private final CircuitBreaker mCircuit = CircuitBreaker.create(new Random(1));

    @Test
    void opensAfterConsecutiveFailures() {
        fail(CircuitBreaker.FAILURES_TO_OPEN - 1);
        assertThat(mCircuit.isOpen(), is(false));
        mCircuit.onSuccess();
        fail(CircuitBreaker.FAILURES_TO_OPEN - 1);
        assertThat(mCircuit.isOpen(), is(false));
        fail(1);
        assertThat(mCircuit.tryAcquire(0), is(false));
    }

    @Test
    void allowsOneProbeAndClosesOnItsSuccess() {
        fail(CircuitBreaker.FAILURES_TO_OPEN);
        long later = Nanos.ofMillis(1_000);
        assertThat(mCircuit.tryAcquire(later), is(true));
        assertThat(mCircuit.tryAcquire(later), is(false));
        mCircuit.onSuccess();
        assertThat(mCircuit.tryAcquire(later), is(true));
        assertThat(mCircuit.tryAcquire(later), is(true));
    }

    @Test
    void pauseGrowsAfterEachFailedProbe() {
        fail(CircuitBreaker.FAILURES_TO_OPEN);
        long now = 0;
        for (int i = 0; i < 10; i++) {
            now += Nanos.ofMillis(12_000);
            assertThat(mCircuit.tryAcquire(now), is(true));
            mCircuit.onFailure(now);
        }
        assertThat(mCircuit.tryAcquire(now + Nanos.ofMillis(3_999)), is(false));
        assertThat(mCircuit.tryAcquire(now + Nanos.ofMillis(12_000)), is(true));
    }

    private void fail(int times) {
        for (int i = 0; i < times; i++) {
            mCircuit.onFailure(0);
        }
    }
}
