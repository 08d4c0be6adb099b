package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.function.Function;
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

    private static final List<Double> TWO_SPEEDS = List.of(1.0, 2.2, 2.2, 2.2, 1.0, 2.2, 2.2, 2.2);

    private static List<Double> pool(String name) {
        return switch (name) {
            case "even" -> EVEN;
            case "one-slow" -> ONE_SLOW;
            case "two-slow" -> TWO_SLOW;
            case "two-speeds" -> TWO_SPEEDS;
            default -> throw new IllegalArgumentException("unknown pool: " + name);
        };
    }

    private static double meanWait(
            SampleOrder order,
            Function<GroupForecast, SamplePlacement> placement,
            String pool,
            int trainers,
            long seed) {
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
        "two-slow, 4, 6",
        "two-speeds, 3, 7"
    })
    void waitsAreShorterThanUnderArrivalOrderAndRoundRobin(String pool, int trainers, long seed) {
        double defaultWait =
                meanWait(
                        new WantedGroupsFirstSampleOrder(),
                        GroupEndPlacement::new,
                        pool,
                        trainers,
                        seed);
        double fifo = meanWait(new FifoSampleOrder(), GroupEndPlacement::new, pool, trainers, seed);
        double roundRobin =
                meanWait(
                        new WantedGroupsFirstSampleOrder(),
                        forecast -> new RoundRobinSamplePlacement(),
                        pool,
                        trainers,
                        seed);
        double baseline =
                meanWait(
                        new FifoSampleOrder(),
                        forecast -> new RoundRobinSamplePlacement(),
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

    /** Most endpoints are the slower ones, which is no reason for their runs to leave. */
    @ParameterizedTest
    @CsvSource({"2, 1", "3, 2", "4, 3"})
    void fewRunsMigrateInAPoolOfTwoSpeeds(int trainers, long seed) {
        TrainerLoadSimulation simulation =
                new TrainerLoadSimulation(
                        new WantedGroupsFirstSampleOrder(),
                        GroupEndPlacement::new,
                        TWO_SPEEDS,
                        trainers,
                        12,
                        true,
                        seed);
        double wait = simulation.run(SECONDS);
        System.out.printf(
                "two speeds trainers=%d wait=%.0f ms migrated=%d of %d samples%n",
                trainers, wait, simulation.migrations(), simulation.listedSamples());

        assertThat(simulation.migrations(), lessThan(simulation.listedSamples() / 4));
    }

    @ParameterizedTest
    @CsvSource({"even, 2, 1", "one-slow, 2, 2", "even, 4, 3"})
    void waitsAreShorterIfStepsContinueTextsOfTheStepBefore(String pool, int trainers, long seed) {
        double[] meanWaits = new double[2];
        for (int carries = 0; carries < 2; carries++) {
            meanWaits[carries] =
                    new TrainerLoadSimulation(
                                    new WantedGroupsFirstSampleOrder(),
                                    GroupEndPlacement::new,
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
