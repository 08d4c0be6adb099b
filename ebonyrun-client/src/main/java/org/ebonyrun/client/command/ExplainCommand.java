package org.ebonyrun.client.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.client.explain.CallSummary;
import org.ebonyrun.client.explain.LogAnalysis;
import org.ebonyrun.client.explain.LogEvent;
import org.ebonyrun.client.explain.StepSummary;

/** Reports from entry logs how long trainers and callers waited, and for what. Stateless. */
public final class ExplainCommand implements Command {
    private static final long DEFAULT_LATE_MILLIS = 500;
    private static final double MEDIAN_SHARE = 0.5;
    private static final double MOST_SHARE = 0.9;
    private static final double FULL_SHARE = 1;
    // A step accepted within this time after its version was named had been waiting for the version
    // ("its version"); a later one was submitted at the trainer's own time ("its time").
    private static final long MAX_START_DELAY_MILLIS = 300;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Creates the command. */
    public ExplainCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("explain")
                        .help("show from logs of entries what trainers and callers waited for")
                        .epilog("example: ebonyrun explain entry-1.log entry-2.log");
        parser.setDefault("command", this);
        parser.addArgument("log")
                .nargs("+")
                .help("file of log lines; the process name may precede each line");
        parser.addArgument("--late-ms")
                .type(Long.class)
                .setDefault(DEFAULT_LATE_MILLIS)
                .help("list calls that took longer, in milliseconds");
    }

    @Override
    public int run(Namespace options) throws IOException {
        List<LogEvent> events = new ArrayList<>();
        for (Object file : options.getList("log")) {
            try (Stream<String> lines =
                    Files.lines(Path.of(file.toString()), StandardCharsets.UTF_8)) {
                lines.map(LogEvent::parse).flatMap(Optional::stream).forEach(events::add);
            }
        }
        if (events.isEmpty()) {
            System.err.println("no log event of an entry in " + options.getList("log"));
            return ExitStatus.FAILED;
        }
        System.out.print(formatReport(LogAnalysis.of(events), options.getLong("late_ms")));
        return ExitStatus.OK;
    }

    /** Formats the report; times are in seconds after the first event. */
    static String formatReport(LogAnalysis analysis, long lateMillis) {
        List<Long> gap = analysis.longestOrderGap();
        return formatSteps(analysis)
                + "\nlongest time without an order: "
                + seconds(analysis, gap.get(0))
                + " to "
                + seconds(analysis, gap.get(1))
                + " s\n\n"
                + formatCalls(analysis, lateMillis);
    }

    private static String formatSteps(LogAnalysis analysis) {
        Table table =
                Table.withHeading(
                        "trainer",
                        "step",
                        "samples",
                        "named",
                        "asked",
                        "waited for",
                        "half",
                        "90%",
                        "last",
                        "ended",
                        "owners",
                        "unsent",
                        "other runs");
        for (StepSummary step : analysis.steps()) {
            OptionalLong named = analysis.versionNamedAt(step.model(), step.number());
            table.addRow(
                    step.model(),
                    step.number(),
                    step.sampleCount(),
                    seconds(analysis, named),
                    seconds(analysis, step.acceptedAt()),
                    waitedForVersion(step, named) ? "its version" : "its time",
                    seconds(analysis, step.completedAt(MEDIAN_SHARE)),
                    seconds(analysis, step.completedAt(MOST_SHARE)),
                    seconds(analysis, step.completedAt(FULL_SHARE)),
                    seconds(analysis, step.endedAt()),
                    step.ownerCount(),
                    step.unsentSamples(),
                    step.failedRuns());
        }
        return table.toString();
    }

    private static boolean waitedForVersion(StepSummary step, OptionalLong named) {
        return named.isPresent() && step.acceptedAt() - named.getAsLong() < MAX_START_DELAY_MILLIS;
    }

    private static String formatCalls(LogAnalysis analysis, long lateMillis) {
        Table table = Table.withHeading("call", "sent", "ms", "attempts", "failure");
        for (CallSummary call : analysis.lateOrFailedCalls(lateMillis)) {
            table.addRow(
                    call.requestId(),
                    seconds(analysis, call.sentAt()),
                    call.durationMillis(),
                    String.join(" ", call.attemptOutcomes()),
                    call.failure());
        }
        return table.hasRows()
                ? table.toString()
                : "no call failed or took longer than " + lateMillis + " ms\n";
    }

    private static String seconds(LogAnalysis analysis, OptionalLong at) {
        return at.isPresent() ? seconds(analysis, at.getAsLong()) : "-";
    }

    private static String seconds(LogAnalysis analysis, long at) {
        return String.format(
                Locale.ROOT, "%.2f", (at - analysis.beginMillis()) / MILLIS_PER_SECOND);
    }
}
