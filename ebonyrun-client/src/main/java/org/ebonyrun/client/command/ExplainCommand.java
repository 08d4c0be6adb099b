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

/** Tells from the logs of entries what trainers and callers waited for. Stateless. */
public final class ExplainCommand implements Command {
    private static final long DEFAULT_LATE_MILLIS = 500;
    private static final double HALF = 0.5;
    private static final double MOST = 0.9;
    private static final double ALL = 1;
    // A step that follows its version by less than this was asked when the version was named.
    private static final long AT_ONCE_MILLIS = 300;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Creates the command. */
    public ExplainCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("explain")
                        .help("tell from logs of entries what trainers and callers waited for")
                        .epilog("example: ebonyrun explain entry-1.log entry-2.log");
        parser.setDefault("command", this);
        parser.addArgument("log").nargs("+").help("file of log lines; a process's name may lead");
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
            System.err.println("no log line of an entry in " + options.getList("log"));
            return ExitStatus.FAILED;
        }
        System.out.print(formatReport(LogAnalysis.of(events), options.getLong("late_ms")));
        return ExitStatus.OK;
    }

    /** Returns the page that the command prints; times are in seconds after the first line. */
    static String formatReport(LogAnalysis story, long lateMillis) {
        List<Long> gap = story.longestOrderGap();
        return steps(story)
                + "\nlongest time without an order: "
                + seconds(story, gap.get(0))
                + " to "
                + seconds(story, gap.get(1))
                + " s\n\n"
                + calls(story, lateMillis);
    }

    private static String steps(LogAnalysis story) {
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
        for (StepSummary step : story.steps()) {
            OptionalLong named = story.versionNamedAt(step.model(), step.number());
            table.addRow(
                    step.model(),
                    step.number(),
                    step.sampleCount(),
                    seconds(story, named),
                    seconds(story, step.acceptedAt()),
                    isAtOnce(step, named) ? "its version" : "its time",
                    seconds(story, step.completedAt(HALF)),
                    seconds(story, step.completedAt(MOST)),
                    seconds(story, step.completedAt(ALL)),
                    seconds(story, step.endedAt()),
                    step.ownerCount(),
                    step.unsentSamples(),
                    step.failedRuns());
        }
        return table.toString();
    }

    private static boolean isAtOnce(StepSummary step, OptionalLong named) {
        return named.isPresent() && step.acceptedAt() - named.getAsLong() < AT_ONCE_MILLIS;
    }

    private static String calls(LogAnalysis story, long lateMillis) {
        Table table = Table.withHeading("call", "sent", "ms", "attempts", "failure");
        for (CallSummary call : story.lateOrFailedCalls(lateMillis)) {
            table.addRow(
                    call.requestId(),
                    seconds(story, call.sentAt()),
                    call.durationMillis(),
                    String.join(" ", call.attemptOutcomes()),
                    call.failure());
        }
        return table.hasRows()
                ? table.toString()
                : "no call failed or took longer than " + lateMillis + " ms\n";
    }

    private static String seconds(LogAnalysis story, OptionalLong at) {
        return at.isPresent() ? seconds(story, at.getAsLong()) : "-";
    }

    private static String seconds(LogAnalysis story, long at) {
        return String.format(Locale.ROOT, "%.2f", (at - story.beginMillis()) / MILLIS_PER_SECOND);
    }
}
