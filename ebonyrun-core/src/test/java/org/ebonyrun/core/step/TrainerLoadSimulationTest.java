package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates trainers under the default order and placement of samples and under simpler ones, and
 * compares how long the trainers wait.
 */
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
            default -> throw new IllegalArgumentException("unknown pool: " + name);
        };
    }

    private static double meanWait(
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
    void waitsAreShorterThanUnderArrivalOrderAndRoundRobin(String pool, int trainers, long seed) {
        double defaultWait =
                meanWait(
                        new WantedGroupsFirstSampleOrder(),
                        new SpeedProportionalPlacement(),
                        pool,
                        trainers,
                        seed);
        double fifo =
                meanWait(
                        new FifoSampleOrder(),
                        new SpeedProportionalPlacement(),
                        pool,
                        trainers,
                        seed);
        double roundRobin =
                meanWait(
                        new WantedGroupsFirstSampleOrder(),
                        new RoundRobinSamplePlacement(),
                        pool,
                        trainers,
                        seed);
        double baseline =
                meanWait(
                        new FifoSampleOrder(),
                        new RoundRobinSamplePlacement(),
                        pool,
                        trainers,
                        seed);
        System.out.printf(
                "steps pool=%s trainers=%d default=%.0f fifo=%.0f round-robin=%.0f baseline=%.0f"
                        + " ms%n",
                pool, trainers, defaultWait, fifo, roundRobin, baseline);

        assertThat(defaultWait, lessThan(baseline));
        assertThat(defaultWait, lessThanOrEqualTo(1.02 * Math.min(fifo, roundRobin)));
    }

    @ParameterizedTest
    @CsvSource({"even, 2, 1", "one-slow, 2, 2", "even, 4, 3"})
    void waitsAreShorterIfStepsContinueTextsOfTheStepBefore(String pool, int trainers, long seed) {
        double[] meanWaits = new double[2];
        for (int carries = 0; carries < 2; carries++) {
            meanWaits[carries] =
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
                "carry pool=%s trainers=%d carried=%.0f regenerated=%.0f ms%n",
                pool, trainers, meanWaits[1], meanWaits[0]);

        assertThat(meanWaits[1], lessThan(meanWaits[0]));
    }
}
