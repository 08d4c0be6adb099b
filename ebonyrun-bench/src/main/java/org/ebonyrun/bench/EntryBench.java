package org.ebonyrun.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.daemon.entry.EntryNode;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.vm.VmRecord;
import org.ebonyrun.standin.loopback.LoopbackSettings;
import org.ebonyrun.standin.platform.StandinPlatform;

/**
 * Runs a real entry over loopback against emulated agents and measures the CPU time of its threads,
 * the bytes on its links and its heap, by the number of agents, when idle and under load.
 */
final class EntryBench {
    private static final String HOST = "127.0.0.1";
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long MEASURE_MILLIS = 5_000;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int MAX_OPEN_CALLS = 32;
    private static final List<String> ENTRY_THREAD_PREFIXES =
            List.of("dispatch", "rollout", "config", "membership", "weights", "links", "entry");
    static final String CONFIG =
            """
            services:
              models: {kind: plain}
            classes:
              lookup:
                service: models
                kind: background
                lateness: {quantile: 0.9, within: 2s}
            """;

    private EntryBench() {}

    /**
     * The results of one run.
     *
     * @param agents number of agents to which the entry is connected
     * @param callsPerSecond answered calls per second
     * @param cpuShare CPU use of the entry's threads, in cores
     * @param bytesPerSecond bytes per second on the entry's links, in both directions
     * @param heapBytes used heap of the process after a garbage collection
     */
    record Measurement(
            int agents,
            double callsPerSecond,
            double cpuShare,
            double bytesPerSecond,
            long heapBytes) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "| %d | %.0f | %.3f%% | %.0f | %.1f |",
                    agents,
                    callsPerSecond,
                    cpuShare * 100,
                    bytesPerSecond,
                    heapBytes / 1e6);
        }
    }

    /** Measures an entry with the given number of agents, under load or idle. */
    static Measurement run(int agents, boolean load) throws IOException, InterruptedException {
        try (StandinPlatform platform = StandinPlatform.start(HOST, 0);
                EmulatedAgents emulated = new EmulatedAgents(agents);
                AsyncHttpClient httpClient = AsyncHttpClient.start()) {
            for (int i = 0; i < agents; i++) {
                platform.putVm(
                        new VmRecord(
                                EmulatedAgents.vm(i),
                                VmRecord.ROLE_ENDPOINT,
                                EmulatedAgents.SERVICE,
                                EmulatedAgents.domain(i),
                                HOST,
                                emulated.port(),
                                false));
            }
            try (EntryNode entry =
                    EntryNode.start(
                            new LoopbackSettings(platform.address(), agents)
                                    .entry("entry", EmulatedAgents.domain(0)))) {
                URI address = URI.create("http://" + HOST + ":" + entry.httpPort());
                applyConfig(httpClient, address);
                while (emulated.connectedCount() < agents) {
                    TimeUnit.MILLISECONDS.sleep(50);
                }
                return measure(entry, httpClient, address, agents, load);
            }
        }
    }

    private static Measurement measure(
            EntryNode entry, AsyncHttpClient httpClient, URI address, int agents, boolean load)
            throws InterruptedException {
        Semaphore callPermits = new Semaphore(MAX_OPEN_CALLS);
        long[] answered = new long[1];
        runLoad(httpClient, address, callPermits, answered, load, WARM_UP_MILLIS);
        long cpu = cpuNanos();
        long bytes = entry.linkBytes();
        long before = answered[0];
        long begin = System.nanoTime();
        runLoad(httpClient, address, callPermits, answered, load, MEASURE_MILLIS);
        double seconds = (System.nanoTime() - begin) / 1e9;
        double cpuShare = (cpuNanos() - cpu) / 1e9 / seconds;
        double byteRate = (entry.linkBytes() - bytes) / seconds;
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        long heap = runtime.totalMemory() - runtime.freeMemory();
        return new Measurement(agents, (answered[0] - before) / seconds, cpuShare, byteRate, heap);
    }

    private static void runLoad(
            AsyncHttpClient httpClient,
            URI address,
            Semaphore callPermits,
            long[] answered,
            boolean load,
            long millis)
            throws InterruptedException {
        if (!load) {
            TimeUnit.MILLISECONDS.sleep(millis);
            return;
        }
        HttpRequest request =
                HttpRequest.json(
                        "POST",
                        URI.create(address + "/v1/calls/lookup"),
                        "{}".getBytes(StandardCharsets.UTF_8),
                        TIMEOUT_MILLIS);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            callPermits.acquire();
            httpClient
                    .request(request, "bench.call")
                    .thenAccept(
                            result -> {
                                if (result.fold(HttpResponse::isSuccess, fault -> false)) {
                                    answered[0]++;
                                }
                                callPermits.release();
                            });
        }
    }

    private static long cpuNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            boolean isEntryThread =
                    info != null
                            && ENTRY_THREAD_PREFIXES.stream()
                                    .anyMatch(info.getThreadName()::startsWith);
            if (isEntryThread) {
                sum += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        return sum;
    }

    private static void applyConfig(AsyncHttpClient httpClient, URI address) {
        URI uri = URI.create(address + "/admin/config?author=bench&expect=0");
        byte[] text = CONFIG.getBytes(StandardCharsets.UTF_8);
        httpClient
                .request(HttpRequest.json("PUT", uri, text, TIMEOUT_MILLIS), "bench.config")
                .join()
                .orThrow();
    }

    /** Measures an entry with each of the given numbers of agents, and prints each result. */
    static List<Measurement> sweep(int[] agents, boolean load)
            throws IOException, InterruptedException {
        List<Measurement> measurements = new ArrayList<>();
        for (int count : agents) {
            Measurement measurement = run(count, load);
            System.out.println(measurement);
            measurements.add(measurement);
        }
        return measurements;
    }
}
