package org.ebonyrun.bench;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the benchmarks for docs/CAPACITY.md and prints their results. Stateless. */
public final class BenchMain {
    private static final int[] IDLE_AGENT_COUNTS = {16, 64, 256, 1_024, 2_048};
    private static final int[] LOADED_AGENT_COUNTS = {16, 64, 256};

    private BenchMain() {}

    /** Runs the parts named in {@code args}: overhead, entry, decisions; all if none is named. */
    public static void main(String[] args)
            throws IOException, InterruptedException, RunnerException {
        List<String> parts =
                args.length == 0 ? List.of("overhead", "entry", "decisions") : List.of(args);
        for (String part : parts) {
            switch (part) {
                case "overhead" -> OverheadBench.run();
                case "entry" -> runEntry();
                case "decisions" -> runDecisions();
                default -> throw new IllegalArgumentException("no such part: " + part);
            }
        }
        System.exit(0);
    }

    private static void runEntry() throws IOException, InterruptedException {
        System.out.println("| agents | calls/s | cpu | link bytes/s | heap MB |");
        List<EntryBench.Measurement> idle = EntryBench.sweep(IDLE_AGENT_COUNTS, false);
        printFit(
                "cpu in cores, idle, by agents",
                idle,
                m -> new LinearFit.Point(m.agents(), m.cpuShare()));
        printFit(
                "link bytes/s, idle, by agents",
                idle,
                m -> new LinearFit.Point(m.agents(), m.bytesPerSecond()));
        printFit("heap bytes by agents", idle, m -> new LinearFit.Point(m.agents(), m.heapBytes()));
        for (EntryBench.Measurement measurement : EntryBench.sweep(LOADED_AGENT_COUNTS, true)) {
            System.out.printf(
                    "cpu per call with %d agents: %.1f us%n",
                    measurement.agents(),
                    measurement.cpuShare() / measurement.callsPerSecond() * 1e6);
        }
    }

    private static void printFit(
            String label,
            List<EntryBench.Measurement> measurements,
            Function<EntryBench.Measurement, LinearFit.Point> point) {
        System.out.println(label + ": " + LinearFit.of(measurements.stream().map(point).toList()));
    }

    private static void runDecisions() throws RunnerException {
        new Runner(
                        new OptionsBuilder()
                                .include("org.ebonyrun.bench.*")
                                .forks(1)
                                .warmupIterations(2)
                                .warmupTime(TimeValue.seconds(1))
                                .measurementIterations(3)
                                .measurementTime(TimeValue.seconds(1))
                                .build())
                .run();
    }
}
