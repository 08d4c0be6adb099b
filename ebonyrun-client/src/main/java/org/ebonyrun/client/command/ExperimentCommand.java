package org.ebonyrun.client.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.standin.experiment.Deployment;
import org.ebonyrun.standin.experiment.Experiment;
import org.ebonyrun.standin.experiment.Figures;
import org.ebonyrun.standin.experiment.PolicySets;
import org.ebonyrun.standin.experiment.Row;
import org.ebonyrun.standin.experiment.Scenario;
import org.ebonyrun.standin.virtual.PolicySet;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/** Compares scheduling policies in virtual time on both example deployments. Stateless. */
public final class ExperimentCommand implements Command {
    private static final int DEFAULT_SEEDS = 10;
    private static final int DEFAULT_SECONDS = 240;
    private static final int QUICK_SEEDS = 2;
    private static final int QUICK_SECONDS = 120;
    private static final double MIN_IN_TIME = 0.99;
    private static final double MAX_WASTED = 0.05;
    private static final int CHART_WIDTH = 1_000;
    private static final int CHART_HEIGHT = 500;

    /** Creates the command. */
    public ExperimentCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("experiment")
                        .help("compare policies in virtual time")
                        .epilog("example: ebonyrun experiment --write docs/experiment");
        parser.setDefault("command", this);
        parser.addArgument("--quick")
                .action(Arguments.storeTrue())
                .help("few seeds, the standard policy only, and fail if a target is missed");
        parser.addArgument("--ablations")
                .action(Arguments.storeTrue())
                .help("switch off one mechanism of the standard policy at a time");
        parser.addArgument("--seeds").type(Integer.class).setDefault(DEFAULT_SEEDS);
        parser.addArgument("--seconds").type(Integer.class).setDefault(DEFAULT_SECONDS);
        parser.addArgument("--write").help("write JSON, Markdown and SVG files with this prefix");
    }

    @Override
    public int run(Namespace options) throws IOException {
        if (options.getBoolean("quick")) {
            return quick();
        }
        boolean ablations = options.getBoolean("ablations");
        List<PolicySet> policies = ablations ? PolicySets.ablations() : PolicySets.compared();
        List<Row> rows =
                Experiment.run(
                        cells(Scenario.all(), policies),
                        options.getInt("seeds"),
                        options.getInt("seconds"));
        String table = table(rows);
        System.out.print(table);
        String prefix = options.getString("write");
        if (prefix != null) {
            Files.writeString(Path.of(prefix + ".md"), table);
            Files.write(Path.of(prefix + ".json"), Json.write(rows));
            for (Deployment deployment : deployments()) {
                plot(rows, deployment, prefix + "-" + deployment.name() + ".svg");
            }
        }
        return ExitStatus.OK;
    }

    private static int quick() {
        List<Scenario> scenarios =
                Scenario.all().stream()
                        .filter(s -> s.injectedFault() == Scenario.InjectedFault.NONE)
                        .toList();
        List<Row> rows =
                Experiment.run(
                        cells(scenarios, List.of(PolicySet.standard())),
                        QUICK_SEEDS,
                        QUICK_SECONDS);
        System.out.print(table(rows));
        List<String> missed = new ArrayList<>();
        for (Row row : rows) {
            Figures mean = row.mean();
            String name = row.deployment() + ", " + row.scenario();
            if (mean.inTime() < MIN_IN_TIME) {
                missed.add(name + ": in time " + mean.inTime());
            }
            if (mean.wasted() > MAX_WASTED) {
                missed.add(name + ": wasted " + mean.wasted());
            }
            long maxAge = deployment(row).stalenessVersions();
            if (mean.maxAge() > maxAge) {
                missed.add(name + ": a sample is " + mean.maxAge() + " versions old");
            }
        }
        missed.forEach(text -> System.out.println("missed: " + text));
        return missed.isEmpty() ? ExitStatus.OK : ExitStatus.FAILED;
    }

    private static Deployment deployment(Row row) {
        return deployments().stream()
                .filter(deployment -> deployment.name().equals(row.deployment()))
                .findFirst()
                .orElseThrow();
    }

    private static List<Deployment> deployments() {
        return List.of(Deployment.carpatica(), Deployment.tavua());
    }

    private static List<Experiment.Cell> cells(List<Scenario> scenarios, List<PolicySet> policies) {
        List<Experiment.Cell> cells = new ArrayList<>();
        for (Deployment deployment : deployments()) {
            for (Scenario scenario : scenarios) {
                for (PolicySet policy : policies) {
                    cells.add(new Experiment.Cell(deployment, scenario, policy));
                }
            }
        }
        return cells;
    }

    private static String table(List<Row> rows) {
        StringBuilder text = new StringBuilder();
        text.append("| deployment | scenario | policy | in time | refused | failed | p50 ms");
        text.append(" | p99 ms | idle s/step | ± | steps | age mean | max | wasted |\n");
        text.append("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (Row row : rows) {
            Figures f = row.mean();
            text.append(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %s | %.2f%% | %.2f%% | %.2f%% | %.0f | %.0f | %.2f | %.2f"
                                    + " | %.1f | %.2f | %.0f | %.2f%% |%n",
                            row.deployment(),
                            row.scenario(),
                            row.policy(),
                            f.inTime() * 100,
                            f.refused() * 100,
                            f.failed() * 100,
                            f.p50Millis(),
                            f.p99Millis(),
                            f.idleSeconds(),
                            row.idleSpread(),
                            f.steps(),
                            f.meanAge(),
                            f.maxAge(),
                            f.wasted() * 100));
        }
        return text.toString();
    }

    private static void plot(List<Row> rows, Deployment deployment, String file)
            throws IOException {
        List<Row> deploymentRows =
                rows.stream().filter(r -> r.deployment().equals(deployment.name())).toList();
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(CHART_WIDTH)
                        .height(CHART_HEIGHT)
                        .title(deployment.name() + ": trainer idle time per step")
                        .xAxisTitle("scenario")
                        .yAxisTitle("seconds")
                        .build();
        Map<String, List<Row>> byPolicy =
                deploymentRows.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Row::policy, LinkedHashMap::new, Collectors.toList()));
        byPolicy.forEach(
                (policy, list) ->
                        chart.addSeries(
                                policy,
                                list.stream().map(Row::scenario).toList(),
                                list.stream().map(r -> r.mean().idleSeconds()).toList()));
        VectorGraphicsEncoder.saveVectorGraphic(chart, file, VectorGraphicsFormat.SVG);
    }
}
