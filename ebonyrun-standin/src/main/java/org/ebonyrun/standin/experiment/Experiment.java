package org.ebonyrun.standin.experiment;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.ebonyrun.standin.virtual.PolicySet;

/** Runs combinations of deployment, scenario and policy over seeds. Stateless and thread safe. */
public final class Experiment {
    private Experiment() {}

    /**
     * One combination to measure.
     *
     * @param deployment the deployment
     * @param scenario the scenario
     * @param policy the policies
     */
    public record Cell(Deployment deployment, Scenario scenario, PolicySet policy) {}

    /** Runs each cell with the given number of seeds, in parallel on all processors. */
    public static List<Row> run(List<Cell> cells, int seeds, int seconds) {
        return cells.parallelStream().map(cell -> row(cell, seeds, seconds)).toList();
    }

    private static Row row(Cell cell, int seeds, int seconds) {
        List<Figures> runs =
                IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        new ExperimentRun(
                                                        cell.deployment(),
                                                        cell.scenario(),
                                                        cell.policy(),
                                                        seed,
                                                        seconds)
                                                .run())
                        .toList();
        Figures mean =
                new Figures(
                        mean(runs, Figures::inTime),
                        mean(runs, Figures::refused),
                        mean(runs, Figures::failed),
                        mean(runs, Figures::p50Millis),
                        mean(runs, Figures::p99Millis),
                        mean(runs, Figures::idleSeconds),
                        mean(runs, Figures::steps),
                        mean(runs, Figures::meanAge),
                        runs.stream().mapToDouble(Figures::maxAge).max().orElse(0),
                        mean(runs, Figures::wasted));
        double variance =
                runs.stream()
                        .mapToDouble(run -> Math.pow(run.idleSeconds() - mean.idleSeconds(), 2))
                        .average()
                        .orElse(0);
        return new Row(
                cell.deployment().name(),
                cell.scenario().name(),
                cell.policy().name(),
                seeds,
                mean,
                Math.sqrt(variance));
    }

    private static double mean(List<Figures> runs, ToDoubleFunction<Figures> figure) {
        return runs.stream().mapToDouble(figure).average().orElse(0);
    }
}
