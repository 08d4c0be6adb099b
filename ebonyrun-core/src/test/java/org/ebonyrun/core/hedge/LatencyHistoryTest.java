package org.ebonyrun.core.hedge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Optional;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LatencyHistoryTest {
    private final LatencyHistory mHistory = new LatencyHistory(0);

    private Optional<HedgeDelay> quantile(double q, long now) {
        return mHistory.quantile(q, HedgeDelay.Source.SERVICE, now);
    }

    @ParameterizedTest
    @CsvSource({"0.95, 19, false", "0.95, 20, true", "0.99, 99, false", "0.99, 100, true"})
    void aQuantileNeedsAnObservationBeyondIt(double q, int observations, boolean known) {
        for (int i = 0; i < observations; i++) {
            mHistory.add(Nanos.ofMillis(20), 0);
        }

        assertThat(quantile(q, 0).isPresent(), is(known));
    }

    @ParameterizedTest
    @CsvSource({"0.75, 75", "0.95, 95", "0.99, 99"})
    void aQuantileIsExceededByItsShareOfObservations(double q, long millis) {
        for (int i = 1; i <= 100; i++) {
            mHistory.add(Nanos.ofMillis(i), 0);
        }
        HedgeDelay delay = quantile(q, Nanos.ofMillis(500)).orElseThrow();

        assertThat(
                delay.nanos(),
                allOf(
                        greaterThan(Nanos.ofMillis(millis)),
                        lessThanOrEqualTo(Nanos.ofMillis(millis + millis / 10 + 1))));
        assertThat(delay.observations(), is(100L));
        assertThat(delay.ageNanos(), is(Nanos.ofMillis(500)));
    }

    @ParameterizedTest
    @CsvSource({"1, 59, 40", "1, 61, 40", "1, 125, 0", "50, 100, 40", "50, 170, 0"})
    void oldObservationsAreForgotten(long seconds, long laterSeconds, long held) {
        for (int i = 0; i < 40; i++) {
            mHistory.add(Nanos.ofMillis(20), Nanos.ofMillis(seconds * 1_000));
        }
        Optional<HedgeDelay> delay = quantile(0.95, Nanos.ofMillis(laterSeconds * 1_000));

        assertThat(delay.map(HedgeDelay::observations).orElse(0L), is(held));
    }

    @Test
    void aQuantileFollowsEachObservation() {
        for (int i = 0; i < 20; i++) {
            mHistory.add(Nanos.ofMillis(10), 0);
        }
        long before = quantile(0.95, 0).orElseThrow().nanos();
        mHistory.add(Nanos.ofMillis(500), 0);
        mHistory.add(Nanos.ofMillis(500), 0);

        assertThat(quantile(0.95, 0).orElseThrow().nanos(), greaterThan(before));
    }

    @Test
    void observationsAreHeldForLessThanTheMaximumAge() {
        for (long second = 0; second < 1_000; second++) {
            long now = Nanos.ofMillis(second * 1_000);
            mHistory.add(Nanos.ofMillis(20), now);
            quantile(0.95, now)
                    .ifPresent(
                            delay ->
                                    assertThat(
                                            delay.ageNanos(),
                                            lessThanOrEqualTo(LatencyHistory.MAX_AGE_NANOS)));
        }
    }
}
