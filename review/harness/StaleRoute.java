import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The platform's store turns one entry away and serves the others and the operator, who moves the
 * trainers' route to another service meanwhile. A trainer submits a batch job to that entry.
 */
public final class StaleRoute {
    private static final String OLD = "model-servers";
    private static final String NEW = "model-servers-2";
    private static final long CONTACT_MS = 3_000;
    private static final long APPLY_MS = 2_000;
    private static final int ITEMS = 84;

    private StaleRoute() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Record record = new Record(Path.of(args[0], "record.txt"));
        List<Entry> entries = new ArrayList<>();
        int status = 2;
        try {
            Store store = new Store();
            for (int i = 1; i <= 3; i++) {
                new Sampler(store, record, "i-old" + i, OLD, 8, 23, 80);
                new Sampler(store, record, "i-new" + i, NEW, 8, 23, 80);
            }
            for (int i = 1; i <= 4; i++) {
                new Sampler(store, record, "i-app" + i, "queue-app", 6, 0, 190);
            }
            store.put("op/config", config(7, OLD));
            int away = store.openPort();
            entries.add(new Entry(folder, record, "edge-1", "hall-c", away));
            entries.add(new Entry(folder, record, "edge-2", "hall-a", store.openPort()));
            for (Entry entry : entries) {
                if (!entry.awaitReady(30)) {
                    throw new IOException(entry.mName + " is not ready");
                }
            }
            Thread.sleep(4_000);
            int first = submit(entries.get(0), record, "aaaa");
            Thread.sleep(1_500);
            if (first != 202 || count(record, "aaaa", OLD, 0) == 0) {
                throw new IOException("the first batch job did not run at the old service");
            }
            if (trouble) {
                store.turnAway(away, true);
                record.line("the store turns edge-1 away (503) and serves the others");
            }
            Thread.sleep(200);
            store.put("op/config", config(9, NEW));
            long ackedAt = record.nowMs();
            record.line("configuration 9 acknowledged: /roll/ moves from " + OLD + " to " + NEW);
            Thread.sleep(APPLY_MS + 200);
            AtomicInteger answer = new AtomicInteger();
            long[] answeredAt = new long[1];
            Thread trainer =
                    Http.thread(
                            "trainer",
                            () -> {
                                answer.set(submit(entries.get(0), record, "bbbb"));
                                answeredAt[0] = record.nowMs();
                            });
            Thread.sleep(4_500);
            store.turnAway(away, false);
            long healedAt = record.nowMs();
            record.line("the store serves edge-1 again");
            trainer.join(12_000);
            Thread.sleep(CONTACT_MS);
            int third = submit(entries.get(0), record, "cccc");
            Thread.sleep(9_000);
            long inTouchAt = (trouble ? healedAt : ackedAt) + CONTACT_MS;
            long from = Math.max(inTouchAt, answeredAt[0]);
            int stale = count(record, "bbbb", OLD, from);
            record.line(
                    "second batch job answered "
                            + answer.get()
                            + " at "
                            + answeredAt[0]
                            + " ms, "
                            + (answeredAt[0] - ackedAt)
                            + " ms after the acknowledgement; edge-1 in touch from "
                            + inTouchAt
                            + " ms; runs of its items by service: "
                            + record.runsByService("bbbb")
                            + "; at the old service while edge-1 was in touch: "
                            + stale);
            record.line(
                    "third batch job, sent to the same process, answered "
                            + third
                            + ", runs by service: "
                            + record.runsByService("cccc"));
            boolean ran = answer.get() == 202 && record.runsByService("cccc").containsKey(NEW);
            status = !ran ? 2 : stale > 0 ? 1 : 0;
            record.line(
                    status == 1 ? "BROKEN: CONFIG" : status == 0 ? "held" : "could not run");
        } catch (IOException e) {
            record.line("could not run: " + e);
        } finally {
            entries.forEach(Entry::stop);
        }
        System.exit(status);
    }

    private static int count(Record record, String prefix, String service, long fromMs) {
        int count = 0;
        for (Record.Run run : record.runs()) {
            boolean item = run.id().startsWith(prefix) && run.service().equals(service);
            count += item && run.atMs() >= fromMs ? 1 : 0;
        }
        return count;
    }

    private static String config(int version, String service) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + "{\"name\":\"r-sync\",\"host\":\"ficu95.example\",\"prefix\":\"/sync/\","
                + "\"type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":800,\"priority\":2,"
                + "\"service\":\"queue-app\",\"max_attempts\":4},"
                + "{\"name\":\"r-roll\",\"host\":\"ficu95.example\",\"prefix\":\"/roll/\","
                + "\"type\":\"rollout\",\"timeout_ms\":10000,\"latency_goal_ms\":500,"
                + "\"priority\":0,\"service\":\""
                + service
                + "\",\"max_attempts\":3,\"due_ms\":7500,\"max_wait_s\":40}],"
                + "\"services\":["
                + engine(OLD)
                + ","
                + engine(NEW)
                + ",{\"name\":\"queue-app\",\"health_path\":\"/healthz\",\"max_conns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static String engine(String name) {
        return "{\"name\":\""
                + name
                + "\",\"health_path\":\"/healthz\",\"max_conns\":150,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":8,\"kv_capacity\":38690,"
                + "\"models\":[{\"name\":\"m\"}]}}";
    }

    /** Submits a batch job; returns the status of the answer, zero if there is none. */
    private static int submit(Entry entry, Record record, String prefix) {
        String id = prefix + "e09b52d6a3f8";
        record.line("batch job " + id + " sent to " + entry.mName);
        try (Http.Client client = new Http.Client(entry.mFront)) {
            Http.Message answer =
                    client.call(
                            "POST",
                            "/roll/" + id,
                            job(prefix),
                            12_000,
                            "Host",
                            "ficu95.example",
                            "X-Request-Id",
                            id,
                            "X-Deadline-Ms",
                            "12000",
                            "Content-Type",
                            "application/json");
            record.line("batch job " + id + " answered " + answer.status());
            return answer.status();
        } catch (IOException e) {
            record.line("batch job " + id + " got no answer: " + e.getMessage());
            return 0;
        }
    }

    private static byte[] job(String prefix) {
        StringBuilder json =
                new StringBuilder(
                        "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"group_count\":19,"
                                + "\"items\":[");
        for (int i = 0; i < ITEMS; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"")
                    .append(String.format("%s%012x", prefix, i))
                    .append("\",\"path\":\"/roll/3/91c4\",\"headers\":{\"X-Model\":\"m\",")
                    .append("\"X-Token-Count\":\"271,92\",\"X-Prefix-Hash\":\"9c2e41:255,")
                    .append(String.format("%x:16\"},", 0x5d07b8 + i))
                    .append("\"body\":\"q83vEjRWeJA=\",\"tokens\":363,\"group\":\"g")
                    .append(i / 4)
                    .append("\",\"scorer\":{\"id\":\"")
                    .append(String.format("5c%s%010x", prefix, i))
                    .append("\",\"host\":\"ficu95.example\",\"path\":\"/sync/5e07\",")
                    .append("\"body\":\"3q2+7w==\"}}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
