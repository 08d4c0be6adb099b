import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with kept connections ask for short answers while a trainer submits a batch job whose
 * body is within max_body_bytes.
 */
public final class LargeJob {
    private static final int CALLERS = 8;
    private static final long STEP_NANOS = 4_000_000_000L;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static volatile boolean sEnded;
    private static final AtomicInteger sServed = new AtomicInteger();
    private static final AtomicInteger sLost = new AtomicInteger();

    private LargeJob() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Record record = new Record(Path.of(args[0], "record.txt"));
        int megabytes = Integer.parseInt(args[1]);
        List<Entry> entries = new ArrayList<>();
        int status = 2;
        try {
            Store store = new Store();
            for (int i = 1; i <= 6; i++) {
                new Sampler(store, record, "i-llm" + i, "model-servers", 8, 19, 20);
            }
            for (int i = 1; i <= 4; i++) {
                new Sampler(store, record, "i-app" + i, "queue-app", 6, 0, 190);
            }
            store.put("op/config", config());
            for (int i = 1; i <= 5; i++) {
                entries.add(new Entry(folder, record, "edge-" + i, "hall-a", store.openPort()));
            }
            for (Entry entry : entries) {
                if (!entry.awaitReady(30)) {
                    throw new IOException(entry.mName + " is not ready");
                }
            }
            Thread.sleep(4_000);
            for (Entry entry : entries) {
                for (int i = 0; i < CALLERS; i++) {
                    Http.thread("caller", () -> callRepeatedly(entry, record));
                }
            }
            Thread.sleep(4_000);
            int bytes = trouble ? megabytes << 20 : 60 << 10;
            for (int step = 0; step < Integer.parseInt(args[2]); step++) {
                long dueAt = System.nanoTime() + STEP_NANOS;
                submit(entries, record, step, bytes);
                end(entries, record, step - 1);
                Thread.sleep(Math.max(0, (dueAt - System.nanoTime()) / 1_000_000));
            }
            Thread.sleep(6_000);
            sEnded = true;
            int exits = entries.stream().mapToInt(Entry::exits).sum();
            record.line(
                    "served "
                            + sServed.get()
                            + " calls; connections closed without an answer while a sound sampler"
                            + " ran the call: "
                            + sLost.get()
                            + "; processes that ended by themselves: "
                            + exits);
            status = sServed.get() < 100 ? 2 : sLost.get() > 3 ? 1 : 0;
            record.line(
                    status == 1 ? "BROKEN: LOST" : status == 0 ? "held" : "could not run");
        } catch (Exception e) {
            record.line("could not run: " + e);
        } finally {
            entries.forEach(Entry::stop);
            if (System.getenv("KEEP") != null) {
                System.out.println(folder);
            }
        }
        System.exit(status);
    }

    private static String config() {
        return "{\"version\":7,\"routes\":["
                + "{\"name\":\"r-sync\",\"host\":\"ficu95.example\",\"prefix\":\"/sync/\","
                + "\"type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":800,\"priority\":2,"
                + "\"service\":\"queue-app\",\"max_attempts\":4},"
                + "{\"name\":\"r-roll\",\"host\":\"ficu95.example\",\"prefix\":\"/roll/\","
                + "\"type\":\"rollout\",\"timeout_ms\":10000,\"latency_goal_ms\":500,"
                + "\"priority\":0,\"service\":\"model-servers\",\"max_attempts\":3,"
                + "\"due_ms\":7500,\"max_wait_s\":40}],"
                + "\"services\":[{\"name\":\"model-servers\",\"health_path\":\"/healthz\","
                + "\"max_conns\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
                + "\"kv_capacity\":38690,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"queue-app\",\"health_path\":\"/healthz\",\"max_conns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** Calls on one kept connection, one call after the other; opens a new one after a failure. */
    private static void callRepeatedly(Entry entry, Record record) {
        while (!sEnded) {
            String id = "";
            try (Http.Client client = new Http.Client(entry.mFront)) {
                while (!sEnded) {
                    id = String.format("c0ffee%010x", IDS.incrementAndGet());
                    Http.Message answer =
                            client.call(
                                    "POST",
                                    "/sync/" + id,
                                    id.getBytes(StandardCharsets.ISO_8859_1),
                                    6_000,
                                    "Host",
                                    "ficu95.example",
                                    "X-Request-Id",
                                    id,
                                    "X-Deadline-Ms",
                                    "3000");
                    if (answer.status() == 200) {
                        sServed.incrementAndGet();
                    } else {
                        record.line(entry.mName + " answered " + answer.status() + " to " + id);
                    }
                    Thread.sleep(200);
                }
            } catch (IOException e) {
                if (!sEnded && record.hasRun(id)) {
                    sLost.incrementAndGet();
                    record.line(
                            entry.mName + " closed the connection without an answer to " + id
                                    + ", which a sampler ran (" + e.getMessage() + ")");
                }
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(1_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Submits a batch job, once more at another entry after a broken connection. */
    private static void submit(List<Entry> entries, Record record, int step, int bytes) {
        String id = String.format("7c41e09b52d6a3f%x", step);
        byte[] job = job(step, bytes);
        for (int attempt = 0; attempt < 2; attempt++) {
            Entry entry = entries.get(attempt);
            record.line("batch job " + id + " of " + job.length + " bytes sent to " + entry.mName);
            try (Http.Client client = new Http.Client(entry.mFront)) {
                Http.Message answer =
                        client.call(
                                "POST",
                                "/roll/7c41e0",
                                job,
                                12_000,
                                "Host",
                                "ficu95.example",
                                "X-Request-Id",
                                id,
                                "X-Deadline-Ms",
                                "12000",
                                "Content-Type",
                                "application/json");
                record.line("batch job answered " + answer.status() + " by " + entry.mName);
                if (answer.status() == 202) {
                    return;
                }
            } catch (IOException e) {
                record.line("batch job: no answer of " + entry.mName + " (" + e.getMessage() + ")");
            }
            pause();
        }
    }

    /** Ends the batch job of an earlier step, as the trainer does when it has what it wants. */
    private static void end(List<Entry> entries, Record record, int step) {
        if (step < 0) {
            return;
        }
        String id = String.format("7c41e09b52d6a3f%x", step);
        try (Http.Client client = new Http.Client(entries.get(2).mFront)) {
            Http.Message answer =
                    client.call(
                            "DELETE", "/lots/" + id, new byte[0], 4_000, "Host", "ficu95.example");
            record.line("end of batch job " + id + " answered " + answer.status());
        } catch (IOException e) {
            record.line("end of batch job " + id + " got no answer: " + e.getMessage());
        }
    }

    /** A batch job of 11 groups of 4 items. */
    private static byte[] job(int step, int bytes) {
        int items = 44;
        byte[] body = new byte[(bytes / items - 300) * 3 / 4];
        Random random = new Random(1);
        StringBuilder json =
                new StringBuilder(
                        "{\"step\":" + step + ",\"model\":\"m\",\"min_version\":1,\"group_count\":10,"
                                + "\"items\":[");
        for (int i = 0; i < items; i++) {
            random.nextBytes(body);
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"")
                    .append(String.format("e5b2907%x%08x", step, i))
                    .append("\",\"path\":\"/roll/3/91c4\",\"headers\":{\"X-Model\":\"m\",")
                    .append("\"X-Token-Count\":\"271,76\",\"X-Prefix-Hash\":\"9c2e41:255,")
                    .append(String.format("%x:16\"},", 0x5d07b8 + i))
                    .append("\"body\":\"")
                    .append(Base64.getEncoder().encodeToString(body))
                    .append("\",\"tokens\":347,\"group\":\"g")
                    .append(i / 4)
                    .append("\",\"scorer\":{\"id\":\"")
                    .append(String.format("40c8f1a%x%08x", step, i))
                    .append("\",\"host\":\"ficu95.example\",\"path\":\"/sync/5e07\",")
                    .append("\"body\":\"3q2+7w==\"}}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
