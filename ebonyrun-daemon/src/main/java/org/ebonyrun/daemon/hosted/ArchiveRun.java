package org.ebonyrun.daemon.hosted;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;

/**
 * Training run for the JVM's class data sharing archive: serves a few requests on loopback against
 * stand-ins and exits, so that the JVM records which classes an entry loads. Used by the build;
 * stateless.
 */
public final class ArchiveRun {
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long POLL_MILLIS = 50;

    private ArchiveRun() {}

    /** Exits with status 0 once a step's result is listed, or 1 if none is listed in time. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Random random = new Random();
        StandinDeployment deployment = StandinDeployment.start(freeAddress(), freeAddress());
        String front = formatAddress(freeAddress());
        String settings =
                String.join(
                        "\n",
                        "role: hosted-entry",
                        "vm: archive",
                        "failure_domain: a",
                        "listen: {front: \""
                                + front
                                + "\", ready: \""
                                + formatAddress(freeAddress())
                                + "\", metrics: \""
                                + formatAddress(freeAddress())
                                + "\"}",
                        "store: \"" + formatAddress(deployment.storeAddress()) + "\"",
                        "first_start: true",
                        "limits: {order_quiet: 3s, grace: 8s, keep_results: 120s}");
        HostedSettings.Parsed parsed = HostedSettings.parse("archive", settings);
        EventLog log = EventLog.start(OutputStream.nullOutputStream());
        HostedEntry.start(parsed.settings(), log);
        AsyncHttpClient client = AsyncHttpClient.start();
        String step = Long.toHexString(random.nextLong());
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        boolean listed = false;
        while (!listed && System.nanoTime() - deadline < 0) {
            post(client, front, deployment.callPath(), "call", deployment.callBody());
            post(client, front, deployment.stepPath(), step, deployment.stepBody());
            URI results = URI.create("http://" + front + deployment.resultsPath(step, 0));
            HttpResponse response = get(client, results);
            listed = response.text().contains("done");
            new CountDownLatch(1).await(POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
        System.exit(listed ? 0 : 1);
    }

    private static void post(
            AsyncHttpClient client, String front, String path, String id, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = StandinDeployment.headers(id);
        HttpRequest call =
                HttpRequest.to("POST", URI.create("http://" + front + path), headers, bytes, 1_000);
        client.request(call, "archive").join();
    }

    private static HttpResponse get(AsyncHttpClient client, URI uri) {
        HttpRequest call =
                HttpRequest.to("GET", uri, StandinDeployment.headers(""), new byte[0], 1_000);
        return client.request(call, "archive")
                .join()
                .fold(r -> r, f -> new HttpResponse(0, new byte[0]));
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }
}
