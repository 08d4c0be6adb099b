package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.List;
import org.ebonyrun.base.id.FailureDomain;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays loads under the product's decisions and under simpler ones, and compares the answers. */
class CallPolicyTest {
    // Ends before a burst, so that each burst has its time.
    private static final long SECONDS = 123;

    private static LowestLatencyPlacement ours() {
        return LowestLatencyPlacement.preferringDomain(
                FailureDomain.of("a"), CallMachine.BACKGROUND_SHARE);
    }

    private static ServiceLoadSimulation.Outcome play(
            CallOrder order, CallPlacement placement, double slowest, int burst, long seed) {
        List<Double> slowness = List.of(1.0, 1.0, slowest, 1.0);
        return new ServiceLoadSimulation(order, placement, slowness, burst, seed).run(SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"1, 40, 1", "1, 120, 2", "4, 40, 3", "4, 120, 4", "8, 80, 5"})
    void lookupsAreAnsweredInTimeMoreOftenThanUnderSimplerDecisions(
            double slowest, int burst, long seed) {
        ServiceLoadSimulation.Outcome ours =
                play(new InteractiveFirstCallOrder(), ours(), slowest, burst, seed);
        ServiceLoadSimulation.Outcome arrival =
                play(new FifoCallOrder(), new RoundRobinCallPlacement(1), slowest, burst, seed);
        ServiceLoadSimulation.Outcome fixed =
                play(
                        new StaticPriorityCallOrder(),
                        new RoundRobinCallPlacement(1),
                        slowest,
                        burst,
                        seed);
        ServiceLoadSimulation.Outcome turns =
                play(
                        new InteractiveFirstCallOrder(),
                        new RoundRobinCallPlacement(1),
                        slowest,
                        burst,
                        seed);
        System.out.printf(
                "calls slowest=%.0f burst=%d ours=%s arrival=%s static=%s round-robin=%s%n",
                slowest, burst, text(ours), text(arrival), text(fixed), text(turns));

        assertThat(ours.lookupsInTime(), greaterThan(arrival.lookupsInTime()));
        assertThat(ours.lookupsInTime(), greaterThan(fixed.lookupsInTime()));
        assertThat(ours.lookupsInTime(), greaterThanOrEqualTo(turns.lookupsInTime()));
        assertThat(ours.scoresAnswered(), greaterThanOrEqualTo(0.99 * turns.scoresAnswered()));
    }

    private static String text(ServiceLoadSimulation.Outcome outcome) {
        return String.format("%.3f/%.3f", outcome.lookupsInTime(), outcome.scoresAnswered());
    }
}
