import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * UNASKED: an entry that was cut off while another one finished its step, and whose watch has to
 * begin anew since the store has discarded its history, goes on as the owner of the step: it sends
 * items of the step to samplers although the trainer has ended it.
 */
public final class Case12 {
    // 20 groups of two items, of which the trainer waits for 18; the last four items are short.
    private static final int ITEMS = 40;
    private static final int WANTED = 36;
    private static final long CUT_MILLIS = 12_000;
    private static final long DISCARD_MILLIS = 9_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CANCEL_MILLIS = 3_000;
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
                    + "{\"name\":\"r3\",\"host\":\"rolls.example\","
                    + "\"prefix\":\"/replies/\",\"type\":\"rollout\",\"timeout_ms\":10000,"
                    + "\"latency_goal_ms\":400,\"priority\":1,\"service\":\"reply-models\","
                    + "\"max_attempts\":3,\"due_ms\":7500,\"max_wait_s\":40},"
                    + "{\"name\":\"r2\",\"host\":\"rolls.example\",\"prefix\":\"/score/\","
                    + "\"type\":\"safe\",\"timeout_ms\":2000,\"latency_goal_ms\":500,"
                    + "\"priority\":2,\"service\":\"family-app\",\"max_attempts\":4}],"
                    + "\"services\":["
                    + "{\"name\":\"match-models\",\"health_path\":\"/healthz\",\"max_conns\":170,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":6,"
                    + "\"kv_capacity\":42438,\"models\":[{\"name\":\"m0\"}]}},"
                    + "{\"name\":\"reply-models\",\"health_path\":\"/healthz\",\"max_conns\":170,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":6,"
                    + "\"kv_capacity\":42438,\"models\":[{\"name\":\"m1\"}]}},"
                    + "{\"name\":\"family-app\",\"health_path\":\"/healthz\",\"max_conns\":100,"
                    + "\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private final RunRecord mRecord;
    private final Store mStore;
    private final List<Sampler> mSamplers = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Relay> mRelays = new ArrayList<>();
    private long mEndedAt;

    private Case12(RunRecord record) throws Exception {
        mRecord = record;
        mStore = Store.start();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case12");
        RunRecord record = new RunRecord(Path.of(args[0], "record.txt"));
        int status = 2;
        try {
            status = new Case12(record).run(folder, trouble);
        } catch (Exception e) {
            record.add("the case could not run: %s", e);
        } finally {
            Entry.endAll();
        }
        record.add("exit status %d", status);
        System.exit(status);
    }

    private static String prefix(String job) {
        return job.startsWith("mid") ? "/replies/" : "/rolls/";
    }

    private static byte[] submission(String job, int items) {
        String model = job.startsWith("mid") ? "m1" : "m0";
        StringBuilder json = new StringBuilder();
        json.append("{\"step\":0,\"model\":\"" + model + "\",\"min_version\":1,\"group_count\":"
                        + Math.max(1, items / 2 * 9 / 10)
                        + ",\"items\":[");
        for (int i = 0; i < items; i++) {
            String id = job + (i < WANTED ? "-" : "-short") + i;
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"" + id + "\",\"path\":\"" + prefix(job) + "x/" + id + "\",")
                    .append("\"headers\":{\"X-Model\":\"" + model + "\",\"X-Token-Count\":\"540,400\"},")
                    .append("\"body\":\"q83vEjRWeJA=\",\"tokens\":940,")
                    .append("\"group\":\"" + job + "-g" + i / 2 + "\",")
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
                        prefix(job) + job,
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

    /** Returns the entry that has run a job, as the platform may choose it for the job's end. */
    private Entry owner(String job) {
        String owner = text("ebonyrun/live/step/" + job + "/owner");
        for (Entry candidate : mEntries) {
            if (owner.startsWith(candidate.name + "/")) {
                return candidate;
            }
        }
        return mEntries.get(0);
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
                            32,
                            100,
                            List.of("m0"),
                            mStore,
                            mRecord));
        }
        mSamplers.add(
                new Sampler(
                        "r-1",
                        "reply-models",
                        6,
                        20,
                        32,
                        100,
                        List.of("m1"),
                        mStore,
                        mRecord));
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
        mRecord.add("%d items reached a sampler too late", broken);
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
                if (next == ITEMS) {
                    Entry owner = owner(job);
                    Thread.sleep(400);
                    end(job, owner);
                    mEndedAt = mRecord.millis();
                }
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
                "%s can reach the store again; owner in the store '%s', done '%s', end '%s'",
                first.name,
                text("ebonyrun/live/step/" + job + "/owner"),
                text("ebonyrun/live/step/" + job + "/done"),
                text("ebonyrun/live/step/" + job + "/end"));
        Thread.sleep(Math.max(0, healedAt + 9_000 - mRecord.millis()));
        int broken = 0;
        for (Sampler sampler : mSamplers) {
            for (Sampler.Arrival run : sampler.arrivals()) {
                boolean ofJob = run.id().startsWith(job + "-");
                if (ofJob
                        && run.millis() - healedAt > CONTACT_MILLIS
                        && run.millis() - mEndedAt > CANCEL_MILLIS) {
                    broken++;
                    mRecord.add(
                            "UNASKED broken: item %s reached sampler %s %d ms after the end of its"
                                    + " job was acknowledged and %d ms after %s could reach the"
                                    + " store again",
                            run.id(), sampler.id, run.millis() - mEndedAt,
                            run.millis() - healedAt, first.name);
                }
            }
        }
        return broken;
    }
}
