import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Callers use the HTTP client of Java 17. As it is set up by default, it offers HTTP/2 in each
 * first request on a connection: Connection: Upgrade, HTTP2-Settings and Upgrade: h2c. A server
 * that does not take the offer ignores it and answers over HTTP/1.1.
 */
public final class UpgradeOffer {
    private static final int CALLERS = 20;
    private static final long TIMEOUT_MS = 3_000;
    private static final long SLACK_MS = 500;

    private UpgradeOffer() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Record record = new Record(Path.of(args[0], "record.txt"));
        List<Entry> entries = new ArrayList<>();
        int status = 2;
        try {
            Store store = new Store();
            for (int i = 1; i <= 4; i++) {
                new Sampler(store, record, "i-app" + i, "queue-app", 6, 0, 190);
            }
            store.put("op/config", config());
            for (int i = 1; i <= 2; i++) {
                entries.add(new Entry(folder, record, "edge-" + i, "hall-a", store.openPort()));
            }
            for (Entry entry : entries) {
                if (!entry.awaitReady(30)) {
                    throw new IOException(entry.mName + " is not ready");
                }
            }
            Thread.sleep(4_000);
            HttpClient.Version version =
                    trouble ? HttpClient.Version.HTTP_2 : HttpClient.Version.HTTP_1_1;
            List<CompletableFuture<HttpResponse<byte[]>>> answers = new ArrayList<>();
            List<String> ids = new ArrayList<>();
            long sentAt = System.nanoTime();
            for (int i = 0; i < CALLERS; i++) {
                String id = String.format("c0ffee%010x", i + 1);
                ids.add(id);
                Entry entry = entries.get(i % entries.size());
                record.line("call " + id + " sent to " + entry.mName);
                answers.add(send(version, entry, id));
            }
            int late = awaitUntil(answers, sentAt + TIMEOUT_MS * 1_000_000);
            int unanswered = awaitUntil(answers, sentAt + (TIMEOUT_MS + SLACK_MS) * 1_000_000);
            for (int i = 0; i < CALLERS; i++) {
                record.line("call " + ids.get(i) + ": " + outcome(answers.get(i)));
            }
            int plain = plainCalls(entries.get(0), record);
            record.line(
                    CALLERS
                            + " calls, unanswered at timeout_ms: "
                            + late
                            + ", half a second later: "
                            + unanswered
                            + "; run by a sampler: "
                            + record.runsByService("c0ffee").getOrDefault("queue-app", 0)
                            + "; calls without the offer, sent after them and served: "
                            + plain
                            + " of 5");
            boolean broken = late >= 8 && unanswered > late / 2;
            status = plain < 5 ? 2 : broken ? 1 : 0;
            record.line(
                    status == 1 ? "BROKEN: CONFIG" : status == 0 ? "held" : "could not run");
        } catch (IOException e) {
            record.line("could not run: " + e);
        } finally {
            entries.forEach(Entry::stop);
        }
        System.exit(status);
    }

    private static CompletableFuture<HttpResponse<byte[]>> send(
            HttpClient.Version version, Entry entry, String id) {
        HttpClient client = HttpClient.newBuilder().version(version).build();
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + entry.mFront + "/sync/" + id))
                        .header("Host", "ficu95.example")
                        .header("X-Request-Id", id)
                        .header("X-Deadline-Ms", Long.toString(TIMEOUT_MS))
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString(id))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    /** Returns how many calls have no answer at a time. */
    private static int awaitUntil(
            List<CompletableFuture<HttpResponse<byte[]>>> answers, long until)
            throws InterruptedException {
        int open = 0;
        for (CompletableFuture<HttpResponse<byte[]>> answer : answers) {
            try {
                answer.get(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                open++;
            } catch (java.util.concurrent.ExecutionException e) {
                open++;
            }
        }
        return open;
    }

    private static String outcome(CompletableFuture<HttpResponse<byte[]>> answer) {
        if (!answer.isDone()) {
            return "no answer";
        }
        try {
            return "answered " + answer.join().statusCode();
        } catch (RuntimeException e) {
            return "no answer: " + e.getCause();
        }
    }

    /** Returns how many of five calls without the offer are served. */
    private static int plainCalls(Entry entry, Record record) throws IOException {
        int served = 0;
        for (int i = 0; i < 5; i++) {
            String id = String.format("d0ffee%010x", i + 1);
            try (Http.Client client = new Http.Client(entry.mFront)) {
                Http.Message answer =
                        client.call(
                                "POST",
                                "/sync/" + id,
                                id.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1),
                                4_000,
                                "Host",
                                "ficu95.example",
                                "X-Request-Id",
                                id,
                                "X-Deadline-Ms",
                                "3000");
                record.line("call " + id + " without the offer: answered " + answer.status());
                served += answer.status() == 200 ? 1 : 0;
            }
        }
        return served;
    }

    private static String config() {
        return "{\"version\":7,\"routes\":["
                + "{\"name\":\"r-sync\",\"host\":\"ficu95.example\",\"prefix\":\"/sync/\","
                + "\"type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":800,\"priority\":2,"
                + "\"service\":\"queue-app\",\"max_attempts\":4}],"
                + "\"services\":[{\"name\":\"queue-app\",\"health_path\":\"/healthz\","
                + "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
