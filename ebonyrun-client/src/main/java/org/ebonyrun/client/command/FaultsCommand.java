package org.ebonyrun.client.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.standin.fault.FaultMatrix;
import org.ebonyrun.standin.fault.FaultOutcome;
import org.ebonyrun.standin.virtual.FaultKind;
import org.ebonyrun.standin.virtual.InjectionPoint;

/** Runs the fault matrix and random pairs of faults in virtual time. Stateless. */
public final class FaultsCommand implements Command {
    private static final int DEFAULT_PAIRS = 500;
    private static final int MAX_PRINTED = 20;

    /** Creates the command. */
    public FaultsCommand() {}

    /** A cell and the outcome of its run for each of {@link FaultMatrix#OCCURRENCES}. */
    private record CellResult(FaultMatrix.Cell cell, List<FaultOutcome> outcomes) {
        boolean hasPassed() {
            return outcomes.stream().allMatch(FaultOutcome::hasPassed);
        }
    }

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("faults")
                        .help("run each fault at each injection point, and pairs, in virtual time")
                        .epilog("example: ebonyrun faults --pairs 1000 --write docs/FAULTS.md");
        parser.setDefault("command", this);
        parser.addArgument("--pairs").type(Integer.class).setDefault(DEFAULT_PAIRS);
        parser.addArgument("--first-pair")
                .type(Long.class)
                .setDefault(0L)
                .help("seed of the first pair");
        parser.addArgument("--write").help("write the matrix to this Markdown file");
        parser.addArgument("--check").help("fail if this Markdown file differs from the matrix");
    }

    @Override
    public int run(Namespace options) throws IOException {
        List<CellResult> cells =
                FaultMatrix.applicableCells().parallelStream()
                        .map(FaultsCommand::runCell)
                        .collect(Collectors.toList());
        long first = options.getLong("first_pair");
        List<FaultOutcome> pairs =
                LongStream.range(first, first + options.getInt("pairs"))
                        .parallel()
                        .mapToObj(FaultMatrix::runPair)
                        .collect(Collectors.toList());
        List<String> failures = describeFailures(cells, pairs, first);
        failures.stream().limit(MAX_PRINTED).forEach(System.out::println);
        System.out.println(
                cells.size()
                        + " cells, "
                        + pairs.size()
                        + " pairs, "
                        + failures.size()
                        + " broken");
        String page = formatPage(cells);
        if (options.getString("write") != null) {
            Files.writeString(Path.of(options.getString("write")), page);
        }
        boolean differs =
                options.getString("check") != null
                        && !Files.readString(Path.of(options.getString("check"))).equals(page);
        if (differs) {
            System.out.println(options.getString("check") + " differs from the matrix of this run");
        }
        return failures.isEmpty() && !differs ? ExitStatus.OK : ExitStatus.FAILED;
    }

    private static CellResult runCell(FaultMatrix.Cell cell) {
        List<FaultOutcome> outcomes = new ArrayList<>();
        for (int occurrence : FaultMatrix.OCCURRENCES) {
            outcomes.add(FaultMatrix.run(cell, occurrence));
        }
        return new CellResult(cell, outcomes);
    }

    private static List<String> describeFailures(
            List<CellResult> cells, List<FaultOutcome> pairs, long firstPair) {
        List<String> failures = new ArrayList<>();
        for (CellResult result : cells) {
            for (FaultOutcome outcome : result.outcomes()) {
                if (!outcome.hasPassed()) {
                    failures.add(
                            result.cell()
                                    + " seed "
                                    + outcome.seed()
                                    + " "
                                    + firstViolations(outcome));
                }
            }
        }
        for (int i = 0; i < pairs.size(); i++) {
            if (!pairs.get(i).hasPassed()) {
                long seed = firstPair + i;
                failures.add(
                        "pair "
                                + seed
                                + " "
                                + FaultMatrix.faultPair(seed)
                                + firstViolations(pairs.get(i)));
            }
        }
        return failures;
    }

    private static List<String> firstViolations(FaultOutcome outcome) {
        return outcome.violations().stream().limit(3).toList();
    }

    private static String formatPage(List<CellResult> results) {
        Map<FaultMatrix.Cell, CellResult> byCell = new LinkedHashMap<>();
        results.forEach(result -> byCell.put(result.cell(), result));
        StringBuilder text = new StringBuilder();
        text.append("# Fault matrix\n\n");
        text.append("Made by `bin/ebonyrun faults --write docs/FAULTS.md`; do not edit.\n\n");
        text.append("Each cell is a run of every path in virtual time in which the fault strikes");
        text.append(" the step's first and fourth occurrence, checked against the stand-ins'");
        text.append(" logs. The cell shows the outcome, how many of the two faults struck (a step");
        text.append(" may occur less than four times), and the first run's seed.\n\n");
        text.append("What each mechanism is worth is shown by docs/MUTANTS.md.\n\n");
        text.append("kept: all promises held and work went on. —: the cell can't occur.\n\n");
        for (FaultKind kind : FaultKind.values()) {
            text.append("## ").append(kind).append("\n\n");
            text.append("| path | step | outcome | struck | seed |\n|---|---|---|---|---|\n");
            for (InjectionPoint point : InjectionPoint.values()) {
                appendRow(text, new FaultMatrix.Cell(point, kind), byCell);
            }
            text.append('\n');
        }
        return text.toString();
    }

    private static void appendRow(
            StringBuilder text, FaultMatrix.Cell cell, Map<FaultMatrix.Cell, CellResult> byCell) {
        text.append("| ")
                .append(cell.injectionPoint().path())
                .append(" | ")
                .append(cell.injectionPoint());
        CellResult result = byCell.get(cell);
        if (result == null) {
            text.append(" | — ").append(cell.notApplicableReason().orElse("")).append(" | | |\n");
            return;
        }
        int injected = result.outcomes().stream().mapToInt(FaultOutcome::injectedFaults).sum();
        String outcome = result.hasPassed() ? "kept" : "BROKEN";
        text.append(" | ").append(injected == 0 ? "did not occur" : outcome);
        text.append(" | ").append(injected).append(" | ");
        text.append(result.outcomes().get(0).seed()).append(" |\n");
    }
}
