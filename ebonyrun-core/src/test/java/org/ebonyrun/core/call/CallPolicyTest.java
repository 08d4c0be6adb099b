package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.List;
import org.ebonyrun.base.id.FailureDomain;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the default order and placement of calls with simpler ones under simulated loads. */
class CallPolicyTest {
    // Ends shortly before the next burst, so that the last one has time to be answered.
    private static final long SECONDS = 123;

    private static LowestLatencyPlacement defaultPlacement() {
        return LowestLatencyPlacement.preferringDomain(
                FailureDomain.of("a"), CallMachine.BACKGROUND_SHARE);
    }

    private static ServiceLoadSimulation.Outcome simulate(
            CallOrder order, CallPlacement placement, double slowdown, int burst, long seed) {
        List<Double> slowdowns = List.of(1.0, 1.0, slowdown, 1.0);
        return new ServiceLoadSimulation(order, placement, slowdowns, burst, seed).run(SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"1, 40, 1", "1, 120, 2", "4, 40, 3", "4, 120, 4", "8, 80, 5"})
    void moreLookupsMeetTheirTargetThanUnderSimplerPolicies(double slowdown, int burst, long seed) {
        ServiceLoadSimulation.Outcome defaultOutcome =
                simulate(
                        new InteractiveFirstCallOrder(), defaultPlacement(), slowdown, burst, seed);
        ServiceLoadSimulation.Outcome fifo =
                simulate(
                        new FifoCallOrder(), new RoundRobinCallPlacement(1), slowdown, burst, seed);
        ServiceLoadSimulation.Outcome staticPriority =
                simulate(
                        new StaticPriorityCallOrder(),
                        new RoundRobinCallPlacement(1),
                        slowdown,
                        burst,
                        seed);
        ServiceLoadSimulation.Outcome roundRobin =
                simulate(
                        new InteractiveFirstCallOrder(),
                        new RoundRobinCallPlacement(1),
                        slowdown,
                        burst,
                        seed);
        System.out.printf(
                "calls slowest=%.0f burst=%d default=%s fifo=%s static=%s round-robin=%s%n",
                slowdown,
                burst,
                text(defaultOutcome),
                text(fifo),
                text(staticPriority),
                text(roundRobin));

        assertThat(defaultOutcome.lookupsInTime(), greaterThan(fifo.lookupsInTime()));
        assertThat(defaultOutcome.lookupsInTime(), greaterThan(staticPriority.lookupsInTime()));
        assertThat(
                defaultOutcome.lookupsInTime(), greaterThanOrEqualTo(roundRobin.lookupsInTime()));
        assertThat(
                defaultOutcome.scoresAnswered(),
                greaterThanOrEqualTo(0.99 * roundRobin.scoresAnswered()));
    }

    private static String text(ServiceLoadSimulation.Outcome outcome) {
        return String.format("%.3f/%.3f", outcome.lookupsInTime(), outcome.scoresAnswered());
    }
}
