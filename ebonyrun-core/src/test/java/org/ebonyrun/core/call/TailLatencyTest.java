package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalDouble;
import org.ebonyrun.core.call.TailLoadSimulation.Load;
import org.ebonyrun.core.call.TailLoadSimulation.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares calls with and without hedging under simulated loads. */
class TailLatencyTest {
    private static final long SECONDS = 200;
    private static final long OVERLOAD_SECONDS = 10;
    private static final OptionalDouble FIVE_PERCENT = OptionalDouble.of(0.05);
    private static final OptionalDouble ZERO = OptionalDouble.of(0);

    private static Outcome simulate(Load load, OptionalDouble limit, long seed) {
        return simulate(load, limit, seed, SECONDS);
    }

    private static Outcome simulate(Load load, OptionalDouble limit, long seed, long seconds) {
        Outcome outcome = new TailLoadSimulation(load, limit, seed).run(seconds);
        System.out.printf("tail limit=%s seed=%d %s %s%n", limit, seed, load, outcome);
        return outcome;
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "3, 2", "3, 3"})
    void oneSlowAnswerInAHundredNoLongerSetsTheTail(int entries, long seed) {
        Load load = new Load(entries, 6, 60, 0.01, 1);
        Outcome off = simulate(load, ZERO, seed);
        Outcome on = simulate(load, FIVE_PERCENT, seed);

        assertThat(off.hedges(), is(0));
        assertThat(on.p999(), lessThan(off.p999() / 3));
        assertThat(on.p50(), lessThanOrEqualTo(off.p50() + 1));
        assertThat(on.extraWork(), lessThanOrEqualTo(0.05));
        assertThat(on.answered(), greaterThanOrEqualTo(off.answered()));
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "5, 2", "20, 3"})
    void anOverloadedServiceGetsNoHedgedAttempts(int entries, long seed) {
        // Six endpoints with six slots and 30 ms a call, 49 ms with slow ones, serve about 730.
        Load load = new Load(entries, 6, 1_200, 0.01, 1);
        Outcome off = simulate(load, ZERO, seed, OVERLOAD_SECONDS);
        Outcome on = simulate(load, FIVE_PERCENT, seed, OVERLOAD_SECONDS);

        assertThat(on.answered(), lessThan(on.calls() * 9 / 10));
        assertThat(on.hedges(), is(0));
        assertThat(on.answered(), greaterThanOrEqualTo(off.answered()));
    }

    @ParameterizedTest
    @CsvSource({
        "1, 6, 60, 0.01, 1, 0.05, 1",
        "1, 3, 90, 0.2, 1, 0.05, 2",
        "7, 6, 200, 0.1, 8, 0.01, 3",
        "30, 6, 60, 0.3, 4, 0.1, 4",
        "30, 12, 300, 0.05, 20, 0.02, 5",
        "100, 4, 40, 0.5, 1, 0.05, 6"
    })
    void extraWorkOfAllEntriesStaysWithinTheLimit(
            int entries,
            int endpoints,
            double callsPerSecond,
            double slowShare,
            double slowEndpoint,
            double limit,
            long seed) {
        Load load = new Load(entries, endpoints, callsPerSecond, slowShare, slowEndpoint);
        Outcome on = simulate(load, OptionalDouble.of(limit), seed);

        assertThat(on.extraWork(), lessThanOrEqualTo(limit));
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "10, 2"})
    void entriesThatRestartEarnTheirExtraWorkAnew(int entries, long seed) {
        Load load = new Load(entries, 6, 60, 0.05, 1);
        TailLoadSimulation simulation = new TailLoadSimulation(load, FIVE_PERCENT, seed);
        for (long millis = 5_000; millis < SECONDS * 1_000; millis += 5_000) {
            simulation.restartEntriesAt(millis);
        }
        Outcome on = simulation.run(SECONDS);

        assertThat(on.extraWork(), lessThanOrEqualTo(0.05));
    }
}
