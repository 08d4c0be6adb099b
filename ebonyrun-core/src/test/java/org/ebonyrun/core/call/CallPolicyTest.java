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

    private static FastestAnswer ours() {
        return FastestAnswer.in(FailureDomain.of("a"), CallMachine.BACKGROUND_SHARE);
    }

    private static ServiceLoad.Outcome play(
            CallOrder order, CallPlacement placement, double slowest, int burst, long seed) {
        List<Double> slowness = List.of(1.0, 1.0, slowest, 1.0);
        return new ServiceLoad(order, placement, slowness, burst, seed).play(SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"1, 40, 1", "1, 120, 2", "4, 40, 3", "4, 120, 4", "8, 80, 5"})
    void lookupsAreAnsweredInTimeMoreOftenThanUnderSimplerDecisions(
            double slowest, int burst, long seed) {
        ServiceLoad.Outcome ours = play(new UrgentCallsFirst(), ours(), slowest, burst, seed);
        ServiceLoad.Outcome arrival =
                play(new ArrivalCallOrder(), new RoundRobinCalls(1), slowest, burst, seed);
        ServiceLoad.Outcome fixed =
                play(new StaticPriorityCallOrder(), new RoundRobinCalls(1), slowest, burst, seed);
        ServiceLoad.Outcome turns =
                play(new UrgentCallsFirst(), new RoundRobinCalls(1), slowest, burst, seed);
        System.out.printf(
                "calls slowest=%.0f burst=%d ours=%s arrival=%s static=%s round-robin=%s%n",
                slowest, burst, text(ours), text(arrival), text(fixed), text(turns));

        assertThat(ours.lookupsInGoal(), greaterThan(arrival.lookupsInGoal()));
        assertThat(ours.lookupsInGoal(), greaterThan(fixed.lookupsInGoal()));
        assertThat(ours.lookupsInGoal(), greaterThanOrEqualTo(turns.lookupsInGoal()));
        assertThat(ours.scoresAnswered(), greaterThanOrEqualTo(0.99 * turns.scoresAnswered()));
    }

    private static String text(ServiceLoad.Outcome outcome) {
        return String.format("%.3f/%.3f", outcome.lookupsInGoal(), outcome.scoresAnswered());
    }
}
