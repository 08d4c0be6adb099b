package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays loads under the product's decisions and under simpler ones, and compares the waits. */
class TrainerLoadSimulationTest {
    private static final long SECONDS = 120;
    private static final List<Double> EVEN = List.of(1.0, 1.0, 1.0, 1.0, 1.0, 1.0);
    private static final List<Double> ONE_SLOW = List.of(1.0, 1.0, 4.0, 1.0, 1.0, 1.0);
    private static final List<Double> TWO_SLOW = List.of(1.0, 3.0, 1.0, 1.0, 5.0, 1.0);

    private static List<Double> pool(String name) {
        return switch (name) {
            case "even" -> EVEN;
            case "one-slow" -> ONE_SLOW;
            case "two-slow" -> TWO_SLOW;
            default -> throw new IllegalArgumentException("no pool " + name);
        };
    }

    private static double wait(
            SampleOrder order, SamplePlacement placement, String pool, int trainers, long seed) {
        return new TrainerLoadSimulation(order, placement, pool(pool), trainers, 12, true, seed)
                .run(SECONDS);
    }

    @ParameterizedTest
    @CsvSource({
        "even, 2, 1",
        "even, 4, 2",
        "one-slow, 2, 3",
        "one-slow, 4, 4",
        "two-slow, 2, 5",
        "two-slow, 4, 6"
    })
    void trainersWaitLessThanUnderArrivalOrderAndRoundRobin(String pool, int trainers, long seed) {
        double ours =
                wait(
                        new WantedGroupsFirstSampleOrder(),
                        new SpeedProportionalPlacement(),
                        pool,
                        trainers,
                        seed);
        double arrival =
                wait(new FifoSampleOrder(), new SpeedProportionalPlacement(), pool, trainers, seed);
        double turns =
                wait(
                        new WantedGroupsFirstSampleOrder(),
                        new RoundRobinPlacement(),
                        pool,
                        trainers,
                        seed);
        double simple =
                wait(new FifoSampleOrder(), new RoundRobinPlacement(), pool, trainers, seed);
        System.out.printf(
                "steps pool=%s trainers=%d ours=%.0f arrival=%.0f round-robin=%.0f both=%.0f ms%n",
                pool, trainers, ours, arrival, turns, simple);

        assertThat(ours, lessThan(simple));
        assertThat(ours, lessThanOrEqualTo(1.02 * Math.min(arrival, turns)));
    }

    @ParameterizedTest
    @CsvSource({"even, 2, 1", "one-slow, 2, 2", "even, 4, 3"})
    void trainersWaitLessWhenStepsGoOnWithTextsOfTheOneBefore(
            String pool, int trainers, long seed) {
        double[] waits = new double[2];
        for (int carries = 0; carries < 2; carries++) {
            waits[carries] =
                    new TrainerLoadSimulation(
                                    new WantedGroupsFirstSampleOrder(),
                                    new SpeedProportionalPlacement(),
                                    pool(pool),
                                    trainers,
                                    12,
                                    carries == 1,
                                    seed)
                            .run(SECONDS);
        }
        System.out.printf(
                "carry pool=%s trainers=%d carried=%.0f again=%.0f ms%n",
                pool, trainers, waits[1], waits[0]);

        assertThat(waits[1], lessThan(waits[0]));
    }
}
