import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * LOST: an entry that has no memory for a step takes it over and keeps it without ever running it,
 * while the entry that had it is back and idle. The step's items are at no sampler until its time
 * is up.
 */
public final class Case11 {
    private static final int ITEMS = 2_000;
    private static final int JOB_BYTES = 33_000_000;
    // Jobs that other clients looked into before.
    private static final int EARLIER_JOBS = 12;
    private static final int EARLIER_ITEMS = 4;
    private static final int EARLIER_BYTES = 490_000;
    private static final long TRAINER_MILLIS = 40_000;
    private static final long STILL_MILLIS = 5_000;
    private static final long CONTACT_MILLIS = 3_000;
    // As deploy/entry.yaml renders the bounds of coral-reach-sitters.
    private static final String LIMITS =
            "{order_quiet: 3000ms, grace: 8s, keep_results: 120s, config_within: 2000ms,"
                    + " leaving_within: 2000ms, contact_within: 3000ms, descriptors: 4100,"
                    + " store_writes: 400}";
    private static final String CONFIG =
            "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"rolls.example\","
                    + "\"prefix\":\"/rolls/\",\"type\":\"rollout\",\"timeout_ms\":10000,"
                    + "\"latency_goal_ms\":400,\"priority\":1,\"service\":\"match-models\","
                    + "\"max_attempts\":3,\"due_ms\":20000,\"max_wait_s\":40},"
                    + "{\"name\":\"r2\",\"host\":\"rolls.example\",\"prefix\":\"/score/\","
                    + "\"type\":\"safe\",\"timeout_ms\":2000,\"latency_goal_ms\":500,"
                    + "\"priority\":2,\"service\":\"family-app\",\"max_attempts\":4}],"
                    + "\"services\":["
                    + "{\"name\":\"match-models\",\"health_path\":\"/healthz\",\"max_conns\":170,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,"
                    + "\"kv_capacity\":42438,\"models\":[{\"name\":\"m0\"}]}},"
                    + "{\"name\":\"family-app\",\"health_path\":\"/healthz\",\"max_conns\":100,"
                    + "\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private final RunRecord mRecord;
    private final Store mStore;
    private final List<Sampler> mSamplers = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();

    private Case11(RunRecord record) throws Exception {
        mRecord = record;
        mStore = Store.start();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case11");
        RunRecord record = new RunRecord(Path.of(args[0], "record.txt"));
        int status = 2;
        try {
            status = new Case11(record).run(folder, trouble);
        } catch (Exception e) {
            record.add("the case could not run: %s", e);
        } finally {
            Entry.endAll();
        }
        record.add("exit status %d", status);
        System.exit(status);
    }

    private static String itemId(String job, int item) {
        return job + "-" + item;
    }

    private static byte[] submission(String job, int items, int bytes) {
        int base64 = (bytes / items - 420) / 4 * 4;
        char[] body = new char[base64];
        Random random = new Random(job.hashCode());
        String digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        for (int i = 0; i < base64; i++) {
            body[i] = digits.charAt(random.nextInt(64));
        }
        String text = new String(body);
        StringBuilder json = new StringBuilder();
        json.append("{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"group_count\":"
                        + items * 9 / 40
                        + ",\"items\":[");
        for (int i = 0; i < items; i++) {
            String id = itemId(job, i);
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"" + id + "\",\"path\":\"/rolls/x/" + id + "\",")
                    .append("\"headers\":{\"X-Model\":\"m0\",\"X-Token-Count\":\"540,400\"},")
                    .append("\"body\":\"" + text + "\",\"tokens\":940,")
                    .append("\"group\":\"" + job + "-g" + i / 4 + "\",")
                    .append("\"scorer\":{\"id\":\"s-" + id + "\",\"host\":\"rolls.example\",")
                    .append("\"path\":\"/score/" + id + "\",\"body\":\"3q2+7w==\"}}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Submits a job as a trainer does: again after a refusal. */
    private boolean submit(String job, int items, int bytes, Entry entry)
            throws InterruptedException {
        byte[] body = submission(job, items, bytes);
        for (int attempt = 1; attempt <= 4; attempt++) {
            Caller.Answer answer =
                    Caller.call(
                            entry.front,
                            "POST",
                            "/rolls/" + job,
                            "rolls.example",
                            Map.of("X-Request-Id", job, "Content-Type", "application/json"),
                            body,
                            15_000);
            mRecord.add(
                    "trainer: submits %s of %d bytes at %s: %d %s",
                    job, body.length, entry.name, answer.status(), answer.failure());
            if (answer.status() == 202) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    private String owner(String job) {
        Store.Item item = mStore.get("ebonyrun/live/step/" + job + "/owner");
        return item == null ? "nobody" : new String(item.value(), StandardCharsets.UTF_8);
    }

    private List<Sampler.Arrival> runs(String job) {
        List<Sampler.Arrival> runs = new ArrayList<>();
        for (Sampler sampler : mSamplers) {
            sampler.arrivals().stream().filter(a -> a.id().startsWith(job)).forEach(runs::add);
        }
        return runs;
    }

    private Caller.Answer get(Entry entry, String target) {
        return Caller.call(
                entry.front, "GET", target, "rolls.example", Map.of(), new byte[0], 5_000);
    }

    private void end(String job, Entry entry) {
        Caller.Answer answer =
                Caller.call(
                        entry.front,
                        "DELETE",
                        "/lots/" + job,
                        "rolls.example",
                        Map.of(),
                        new byte[0],
                        5_000);
        mRecord.add("trainer: ends %s at %s: %d", job, entry.name, answer.status());
    }

    /** Returns the position after the results that can be read from a position on. */
    private int readFrom(String job, int from, Entry entry) {
        Caller.Answer answer = get(entry, "/lots/" + job + "?after=" + from);
        if (answer.status() != 200) {
            return from;
        }
        return ((Number) ((Map<?, ?>) Json.parse(answer.body())).get("next")).intValue();
    }

    private int run(Path folder, boolean trouble) throws Exception {
        mStore.put("op/config", CONFIG);
        for (int i = 1; i <= 6; i++) {
            mSamplers.add(
                    new Sampler(
                            "i-" + i,
                            "match-models",
                            16,
                            20,
                            5,
                            100,
                            List.of("m0"),
                            mStore,
                            mRecord));
        }
        for (int i = 1; i <= 3; i++) {
            new Sampler("p-" + i, "family-app", 6, 20, List.of(), mStore, mRecord);
        }
        for (int i = 1; i <= 4; i++) {
            mEntries.add(new Entry("edge-" + i, folder, mStore.port(), LIMITS));
        }
        for (Entry entry : mEntries) {
            entry.start(true);
        }
        for (Entry entry : mEntries) {
            if (!entry.awaitReady(20_000)) {
                mRecord.add("%s is not ready", entry.name);
                return 2;
            }
        }
        Thread.sleep(2_000);
        Entry first = mEntries.get(0);
        // Clients look into jobs at nodes in any zone.
        for (int i = 1; i <= EARLIER_JOBS; i++) {
            String earlier = "early" + i;
            if (!submit(earlier, EARLIER_ITEMS, EARLIER_BYTES, first)) {
                return 2;
            }
            for (Entry entry : mEntries.subList(1, 4)) {
                Caller.Answer body = get(entry, "/items/" + earlier + "?id=" + earlier + "-0");
                mRecord.add(
                        "client: asks %s for the body of %s-0: %d, %d bytes",
                        entry.name, earlier, body.status(), body.body().length);
            }
            Thread.sleep(100);
        }
        Thread.sleep(1_500);
        for (int i = 1; i <= EARLIER_JOBS; i++) {
            end("early" + i, first);
        }
        Thread.sleep(1_000);
        String job = "lost";
        if (!submit(job, ITEMS, JOB_BYTES, first)) {
            return 2;
        }
        long submittedAt = mRecord.millis();
        Thread.sleep(1_500);
        int begun = runs(job).size();
        mRecord.add("%d items of %s have begun; its owner is %s", begun, job, owner(job));
        if (begun == 0) {
            return 2;
        }
        long backAt = mRecord.millis();
        if (trouble) {
            mRecord.add("%s loses power", first.name);
            first.kill();
            Thread.sleep(3_500);
            first.start(false);
            mRecord.add("%s is started again", first.name);
            if (!first.awaitReady(10_000)) {
                mRecord.add("%s is not ready", first.name);
                return 2;
            }
            backAt = mRecord.millis();
            mRecord.add("%s is ready again", first.name);
        }
        long lastAtSampler = mRecord.millis();
        long still = 0;
        int next = 0;
        while (next < ITEMS && mRecord.millis() - submittedAt < TRAINER_MILLIS) {
            Thread.sleep(500);
            long open = openItems(job);
            if (open > 0) {
                lastAtSampler = mRecord.millis();
            }
            long steadySince = Math.max(lastAtSampler, backAt + CONTACT_MILLIS);
            still = Math.max(still, mRecord.millis() - steadySince);
            next = readFrom(job, next, first);
            int running = mSamplers.stream().mapToInt(Sampler::running).sum();
            mRecord.add(
                    "%s: owner %s, %d results, %d items at samplers; %d of %d places taken",
                    job, owner(job), next, open, running, 6 * 16);
        }
        mRecord.add(
                "%s: %d of %d results; for %d ms of steady state no item was at a sampler",
                job, next, ITEMS, still);
        end(job, first);
        boolean broken = next < ITEMS && still >= STILL_MILLIS;
        if (broken) {
            mRecord.add("LOST broken: the time of %s is up", job);
        }
        return broken ? 1 : 0;
    }

    private long openItems(String job) {
        return mSamplers.stream().mapToLong(sampler -> sampler.running(job)).sum();
    }
}
