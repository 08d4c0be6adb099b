import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * LOST: an entry that was cut off while another one finished its step, and whose watch has to begin
 * anew since the store has discarded its history, goes on as the owner of the step: it tells that
 * the step has no results, which had been read before.
 */
public final class Case13 {
    private static final int ITEMS = 24;
    private static final long CUT_MILLIS = 12_000;
    private static final long DISCARD_MILLIS = 9_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long SETTLE_MILLIS = 1_000;
    // As deploy/entry.yaml renders the bounds of coral-reach-sitters.
    private static final String LIMITS =
            "{order_quiet: 3000ms, grace: 8s, keep_results: 120s, config_within: 2000ms,"
                    + " leaving_within: 2000ms, contact_within: 3000ms, descriptors: 4100,"
                    + " store_writes: 400}";
    private static final String CONFIG =
            "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"rolls.example\","
                    + "\"prefix\":\"/rolls/\",\"type\":\"rollout\",\"timeout_ms\":10000,"
                    + "\"latency_goal_ms\":400,\"priority\":1,\"service\":\"match-models\","
                    + "\"max_attempts\":3,\"due_ms\":7500,\"max_wait_s\":40},"
                    + "{\"name\":\"r2\",\"host\":\"rolls.example\",\"prefix\":\"/score/\","
                    + "\"type\":\"safe\",\"timeout_ms\":2000,\"latency_goal_ms\":500,"
                    + "\"priority\":2,\"service\":\"family-app\",\"max_attempts\":4}],"
                    + "\"services\":["
                    + "{\"name\":\"match-models\",\"health_path\":\"/healthz\",\"max_conns\":170,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":6,"
                    + "\"kv_capacity\":42438,\"models\":[{\"name\":\"m0\"}]}},"
                    + "{\"name\":\"family-app\",\"health_path\":\"/healthz\",\"max_conns\":100,"
                    + "\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private final RunRecord mRecord;
    private final Store mStore;
    private final List<Sampler> mSamplers = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Relay> mRelays = new ArrayList<>();

    private Case13(RunRecord record) throws Exception {
        mRecord = record;
        mStore = Store.start();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case13");
        RunRecord record = new RunRecord(Path.of(args[0], "record.txt"));
        int status = 2;
        try {
            status = new Case13(record).run(folder, trouble);
        } catch (Exception e) {
            record.add("the case could not run: %s", e);
        } finally {
            Entry.endAll();
        }
        record.add("exit status %d", status);
        System.exit(status);
    }

    private static byte[] submission(String job, int items) {
        StringBuilder json = new StringBuilder();
        json.append("{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"group_count\":"
                        + Math.max(1, items / 4 * 9 / 10)
                        + ",\"items\":[");
        for (int i = 0; i < items; i++) {
            String id = job + "-" + i;
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"" + id + "\",\"path\":\"/rolls/x/" + id + "\",")
                    .append("\"headers\":{\"X-Model\":\"m0\",\"X-Token-Count\":\"540,400\"},")
                    .append("\"body\":\"q83vEjRWeJA=\",\"tokens\":940,")
                    .append("\"group\":\"" + job + "-g" + i / 4 + "\",")
                    .append("\"scorer\":{\"id\":\"s-" + id + "\",\"host\":\"rolls.example\",")
                    .append("\"path\":\"/score/" + id + "\",\"body\":\"3q2+7w==\"}}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
    }

    private boolean submit(String job, int items, Entry entry) {
        Caller.Answer answer =
                Caller.call(
                        entry.front,
                        "POST",
                        "/rolls/" + job,
                        "rolls.example",
                        Map.of("X-Request-Id", job, "Content-Type", "application/json"),
                        submission(job, items),
                        10_000);
        mRecord.add("trainer: submits %s at %s: %d", job, entry.name, answer.status());
        return answer.status() == 202;
    }

    /** Returns the number of results that an entry tells from a position on; -1 if it is unsure. */
    private int read(String job, int from, Entry entry) {
        Caller.Answer answer =
                Caller.call(
                        entry.front,
                        "GET",
                        "/lots/" + job + "?after=" + from,
                        "rolls.example",
                        Map.of(),
                        new byte[0],
                        3_000);
        int results = -1;
        if (answer.status() == 200) {
            results = ((List<?>) ((Map<?, ?>) Json.parse(answer.body())).get("results")).size();
        }
        mRecord.add(
                "client: reads %s from position %d at %s: %d, %d results",
                job, from, entry.name, answer.status(), results);
        return results;
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
                        3_000);
        mRecord.add("trainer: ends %s at %s: %d", job, entry.name, answer.status());
    }

    private String text(String key) {
        Store.Item item = mStore.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    private int run(Path folder, boolean trouble) throws Exception {
        mStore.put("op/config", CONFIG);
        for (int i = 1; i <= 6; i++) {
            mSamplers.add(
                    new Sampler(
                            "i-" + i,
                            "match-models",
                            6,
                            20,
                            34,
                            100,
                            List.of("m0"),
                            mStore,
                            mRecord));
        }
        for (int i = 1; i <= 3; i++) {
            new Sampler("p-" + i, "family-app", 6, 20, List.of(), mStore, mRecord);
        }
        for (int i = 1; i <= 4; i++) {
            Relay relay = new Relay(mStore.port());
            mRelays.add(relay);
            mEntries.add(new Entry("edge-" + i, folder, relay.port(), LIMITS));
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
        Thread.sleep(3_000);
        int broken = 0;
        for (int round = 1; round <= 4; round++) {
            int found = round(round, trouble);
            if (found < 0) {
                return 2;
            }
            broken += found;
        }
        mRecord.add("%d reads found nothing where results had been read", broken);
        return broken > 0 ? 1 : 0;
    }

    private int round(int round, boolean trouble) throws Exception {
        String job = "job" + round;
        // The entry that has the duties is busy with two other jobs, another one with a shorter
        // one, which ends soon.
        int busy = 0;
        String holder = text("ebonyrun/live/planner");
        for (int i = 0; i < mEntries.size(); i++) {
            busy = holder.startsWith(mEntries.get(i).name + "/") ? i : busy;
        }
        Entry first = mEntries.get((busy + 1) % mEntries.size());
        Entry second = mEntries.get((busy + 2) % mEntries.size());
        Relay relay = mRelays.get(mEntries.indexOf(first));
        mRecord.add("round %d; %s has the duties", round, mEntries.get(busy).name);
        boolean accepted =
                submit("long" + round + "a", 2, mEntries.get(busy))
                        && submit("long" + round + "b", 2, mEntries.get(busy))
                        && submit("mid" + round, 2, mEntries.get((busy + 3) % mEntries.size()));
        // A step of long texts takes all places that the entry counts, so that the next one waits.
        String earlier = "long" + round + "c";
        if (!accepted || !submit(earlier, 36, first)) {
            return -1;
        }
        Thread.sleep(300);
        if (!submit(job, ITEMS, first)) {
            return -1;
        }
        Thread.sleep(200);
        long cutAt = mRecord.millis();
        if (trouble) {
            mRecord.add("%s is cut off from the store", first.name);
            relay.cut();
        }
        Thread.sleep(300);
        end(earlier, second);
        long readAt = 0;
        int next = 0;
        boolean discarded = false;
        while (mRecord.millis() - cutAt < CUT_MILLIS) {
            Thread.sleep(Math.min(500, Math.max(1, cutAt + CUT_MILLIS - mRecord.millis())));
            if (trouble && !discarded && mRecord.millis() - cutAt >= DISCARD_MILLIS) {
                discarded = true;
                mStore.discardHistory();
                mRecord.add("store: discards its history");
            }
            if (next < ITEMS) {
                next += Math.max(0, read(job, next, second));
                readAt = mRecord.millis();
            }
        }
        if (next < ITEMS) {
            mRecord.add("the step was not finished in time");
            return -1;
        }
        if (trouble) {
            relay.heal();
        }
        long healedAt = mRecord.millis();
        mRecord.add(
                "%s can reach the store again; owner in the store '%s', done '%s'",
                first.name,
                text("ebonyrun/live/step/" + job + "/owner"),
                text("ebonyrun/live/step/" + job + "/done"));
        Thread.sleep(1_000);
        submit("next" + round, 4, first);
        Thread.sleep(Math.max(0, healedAt + CONTACT_MILLIS + 100 - mRecord.millis()));
        int broken = 0;
        while (mRecord.millis() - healedAt < 9_000) {
            long asked = mRecord.millis();
            if (read(job, 0, first) == 0 && asked - readAt > SETTLE_MILLIS) {
                broken++;
                mRecord.add(
                        "LOST broken: %s has nothing at position 0, %d ms after it was read and"
                                + " %d ms after it could reach the store again",
                        first.name, asked - readAt, asked - healedAt);
            }
            Thread.sleep(300);
        }
        return broken;
    }
}
