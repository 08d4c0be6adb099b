package org.ebonyrun.bench;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.daemon.agent.AgentNode;
import org.ebonyrun.daemon.entry.EntryNode;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.Correlation;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.vm.VmRecord;
import org.ebonyrun.standin.engine.StandinService;
import org.ebonyrun.standin.loopback.LoopbackSettings;
import org.ebonyrun.standin.platform.StandinPlatform;

/**
 * Compares the latency of calls through entry and agent with that of direct calls. The two kinds of
 * calls alternate.
 */
final class OverheadBench {
    private static final String HOST = "127.0.0.1";
    private static final String SERVICE = "models";
    private static final FailureDomain DOMAIN = FailureDomain.of("hall-0");
    private static final int ENTRIES_PER_ENDPOINT = 4;
    private static final int WARM_UP_CALLS = 3_000;
    private static final int MEASURED_CALLS = 5_000;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private OverheadBench() {}

    /** Runs the comparison and prints it. */
    static void run() throws IOException, InterruptedException {
        try (StandinPlatform platform = StandinPlatform.start(HOST, 0);
                StandinService service = StandinService.start("service", HOST, 0, 0);
                AsyncHttpClient httpClient = AsyncHttpClient.start();
                AgentNode agent =
                        AgentNode.start(
                                new LoopbackSettings(platform.address(), ENTRIES_PER_ENDPOINT)
                                        .agent("vm-1", DOMAIN, SERVICE, service.address(), false));
                EntryNode entry =
                        EntryNode.start(
                                new LoopbackSettings(platform.address(), ENTRIES_PER_ENDPOINT)
                                        .entry("entry", DOMAIN))) {
            platform.putVm(
                    new VmRecord(
                            VmId.of("vm-1"),
                            VmRecord.ROLE_ENDPOINT,
                            SERVICE,
                            DOMAIN,
                            HOST,
                            agent.linkPort(),
                            false));
            URI address = URI.create("http://" + HOST + ":" + entry.httpPort());
            URI config = URI.create(address + "/admin/config?author=bench&expect=0");
            byte[] text = EntryBench.CONFIG.getBytes(StandardCharsets.UTF_8);
            httpClient
                    .request(HttpRequest.json("PUT", config, text, TIMEOUT_MILLIS), "config")
                    .join()
                    .orThrow();
            compare(httpClient, URI.create(address + "/v1/calls/lookup"), service.address());
        }
    }

    private static void compare(AsyncHttpClient httpClient, URI through, URI direct)
            throws InterruptedException {
        while (!call(httpClient, through)) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        Histogram throughMicros = new Histogram(SIGNIFICANT_DIGITS);
        Histogram directMicros = new Histogram(SIGNIFICANT_DIGITS);
        for (int i = 0; i < WARM_UP_CALLS + MEASURED_CALLS; i++) {
            long begin = System.nanoTime();
            call(httpClient, through);
            long middle = System.nanoTime();
            call(httpClient, direct);
            long end = System.nanoTime();
            if (i >= WARM_UP_CALLS) {
                throughMicros.recordValue((middle - begin) / 1_000);
                directMicros.recordValue((end - middle) / 1_000);
            }
        }
        printRow("through entry and agent", throughMicros);
        printRow("at the stand-in", directMicros);
        long median =
                throughMicros.getValueAtPercentile(50) - directMicros.getValueAtPercentile(50);
        System.out.println("overhead at the median: " + median + " us");
    }

    private static void printRow(String name, Histogram micros) {
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %d |%n",
                name,
                micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99));
    }

    private static boolean call(AsyncHttpClient httpClient, URI uri) {
        byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
        return httpClient
                .request(
                        HttpRequest.json("POST", uri, body, TIMEOUT_MILLIS)
                                .withCorrelation(Correlation.byOrder()),
                        "bench.call")
                .join()
                .fold(HttpResponse::isSuccess, fault -> false);
    }
}
