import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with kept connections ask for short answers while others send requests with larger bodies,
 * each far below max_body_bytes, at the same time.
 */
public final class LargeBodies {
    private static final int CALLERS = 4;
    private static final int FIRST_CALLERS = 24;
    private static final int WAVES = 3;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static volatile boolean sEnded;
    private static final AtomicInteger sServed = new AtomicInteger();
    private static final AtomicInteger sLost = new AtomicInteger();

    private LargeBodies() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Record record = new Record(Path.of(args[0], "record.txt"));
        int kibibytes = Integer.parseInt(args[1]);
        int clients = Integer.parseInt(args[2]);
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
                boolean first = entry == entries.get(0);
                for (int i = 0; i < (first ? FIRST_CALLERS : CALLERS); i++) {
                    Http.thread("caller", () -> callRepeatedly(entry, record));
                }
            }
            Thread.sleep(4_000);
            int bytes = trouble ? kibibytes << 10 : 4 << 10;
            for (int wave = 0; wave < WAVES; wave++) {
                List<Thread> uploads = new ArrayList<>();
                record.line(clients + " requests of " + bytes + " bytes each sent to edge-1");
                for (int i = 0; i < clients; i++) {
                    uploads.add(
                            Http.thread("client", () -> upload(entries.get(0), record, bytes)));
                }
                for (Thread upload : uploads) {
                    upload.join(10_000);
                }
                Thread.sleep(5_000);
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

    /** Sends one request with a large body on a connection of its own. */
    private static void upload(Entry entry, Record record, int bytes) {
        String id = String.format("b0d1e5%010x", IDS.incrementAndGet());
        try (Http.Client client = new Http.Client(entry.mFront)) {
            int status =
                    client.call(
                                    "POST",
                                    "/sync/" + id,
                                    new byte[bytes],
                                    6_000,
                                    "Host",
                                    "ficu95.example",
                                    "X-Request-Id",
                                    id,
                                    "X-Deadline-Ms",
                                    "3000")
                            .status();
            record.line("large request " + id + " answered " + status);
        } catch (IOException e) {
            record.line("large request " + id + " got no answer: " + e.getMessage());
        }
    }
}
