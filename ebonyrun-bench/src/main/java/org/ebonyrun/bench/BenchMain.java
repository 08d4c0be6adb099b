package org.ebonyrun.bench;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs every measurement that the capacity page needs and prints it. Stateless. */
public final class BenchMain {
    private static final int[] AGENTS = {16, 64, 256, 1_024, 2_048};
    private static final int[] LOADED = {16, 64, 256};

    private BenchMain() {}

    /** Runs the parts named in {@code args}, or all: decisions, entry, overhead. */
    public static void main(String[] args)
            throws IOException, InterruptedException, RunnerException {
        List<String> parts =
                args.length == 0 ? List.of("overhead", "entry", "decisions") : List.of(args);
        for (String part : parts) {
            switch (part) {
                case "overhead" -> OverheadBench.run();
                case "entry" -> entry();
                case "decisions" -> decisions();
                default -> throw new IllegalArgumentException("no such part: " + part);
            }
        }
        System.exit(0);
    }

    private static void entry() throws IOException, InterruptedException {
        System.out.println("| agents | calls/s | cpu | link bytes/s | heap MB |");
        List<EntryBench.Measurement> idle = EntryBench.sweep(AGENTS, false);
        print(
                "cpu in cores, idle, by agents",
                idle,
                r -> new LinearFit.Point(r.agents(), r.cpuShare()));
        print(
                "link bytes/s, idle, by agents",
                idle,
                r -> new LinearFit.Point(r.agents(), r.bytesPerSecond()));
        print("heap bytes by agents", idle, r -> new LinearFit.Point(r.agents(), r.heapBytes()));
        for (EntryBench.Measurement reading : EntryBench.sweep(LOADED, true)) {
            System.out.printf(
                    "cpu per call with %d agents: %.1f us%n",
                    reading.agents(), reading.cpuShare() / reading.callsPerSecond() * 1e6);
        }
    }

    private static void print(
            String what,
            List<EntryBench.Measurement> readings,
            Function<EntryBench.Measurement, LinearFit.Point> point) {
        System.out.println(what + ": " + LinearFit.of(readings.stream().map(point).toList()));
    }

    private static void decisions() throws RunnerException {
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
