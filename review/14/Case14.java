import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * DRAIN: samplers leave one after the other without having reported that they drain; the store cuts
 * a waiting watch once after each. Requests go to a sampler later than drain_ms after its entry was
 * removed, and those that it runs when it exits are lost.
 */
public final class Case14 {
    private static final long DRAIN_MILLIS = 2_000;
    private static final int ROUNDS = 8;
    // As deploy/entry.yaml renders the bounds of coral-reach-sitters.
    private static final String LIMITS =
            "{order_quiet: 3000ms, grace: 8s, keep_results: 120s, config_within: 2000ms,"
                    + " leaving_within: 2000ms, contact_within: 3000ms, descriptors: 4100,"
                    + " store_writes: 400}";
    private static final String CONFIG =
            "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"app.example\","
                    + "\"prefix\":\"/sync/\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
                    + "\"latency_goal_ms\":800,\"priority\":1,\"service\":\"family-app\","
                    + "\"max_attempts\":2}],\"services\":["
                    + "{\"name\":\"family-app\",\"health_path\":\"/healthz\",\"max_conns\":100,"
                    + "\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private final RunRecord mRecord;
    private final Store mStore;
    private final List<Sampler> mSamplers = new ArrayList<>();
    private final ExecutorService mCallers =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "caller");
                        thread.setDaemon(true);
                        return thread;
                    });
    private volatile boolean mCalling = true;
    private int mCalls;
    private int mLost;

    private Case14(RunRecord record) throws Exception {
        mRecord = record;
        mStore = Store.start();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case14");
        RunRecord record = new RunRecord(Path.of(args[0], "record.txt"));
        int status = 2;
        try {
            status = new Case14(record).run(folder, trouble);
        } catch (Exception e) {
            record.add("the case could not run: %s", e);
        } finally {
            Entry.endAll();
        }
        record.add("exit status %d", status);
        System.exit(status);
    }

    private Sampler newSampler(int number) throws Exception {
        Sampler sampler =
                new Sampler("i-" + number, "family-app", 6, 150, List.of(), mStore, mRecord);
        mSamplers.add(sampler);
        return sampler;
    }

    /** Sends a request each 40 ms. */
    private void callers(Entry entry) {
        for (int i = 0; mCalling; i++) {
            String id = "c" + i;
            mCallers.execute(() -> call(entry, id));
            try {
                Thread.sleep(40);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void call(Entry entry, String id) {
        Caller.Answer answer =
                Caller.call(
                        entry.front,
                        "POST",
                        "/sync/" + id,
                        "app.example",
                        Map.of("X-Request-Id", id, "X-Deadline-Ms", "3000"),
                        id.getBytes(),
                        4_000);
        boolean own = answer.status() == 200 && answer.text().equals("answer to " + id);
        synchronized (this) {
            mCalls++;
            if (!own) {
                mLost++;
            }
        }
        if (!own) {
            mRecord.add("client: request %s: status %d %s", id, answer.status(), answer.failure());
        }
    }

    private int run(Path folder, boolean trouble) throws Exception {
        mStore.put("op/config", CONFIG);
        Entry entry = new Entry("edge-1", folder, mStore.port(), LIMITS);
        entry.start(true);
        for (int i = 1; i <= 3; i++) {
            newSampler(i);
            // The beats of samplers don't come at one moment.
            Thread.sleep(400);
        }
        if (!entry.awaitReady(20_000)) {
            mRecord.add("%s is not ready", entry.name);
            return 2;
        }
        Thread.sleep(4_000);
        Thread calling = new Thread(() -> callers(entry), "callers");
        calling.setDaemon(true);
        calling.start();
        int late = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            Sampler leaving = mSamplers.get(round - 1);
            newSampler(3 + round);
            Thread.sleep(4_100);
            leaving.removeEntry();
            long removedAt = mRecord.millis();
            mRecord.add("store: the entry of sampler %s is removed", leaving.id);
            Thread.sleep(900);
            if (trouble) {
                int cut = mStore.cutWaitingWatches();
                mRecord.add("store: cuts the %d watches that are waiting", cut);
            }
            Thread.sleep(Math.max(0, removedAt + DRAIN_MILLIS + 500 - mRecord.millis()));
            leaving.exit();
            mRecord.add("sampler %s exits, %d ms after the removal of its entry", leaving.id,
                    mRecord.millis() - removedAt);
            for (Sampler.Arrival run : leaving.arrivals()) {
                if (run.millis() > removedAt + DRAIN_MILLIS) {
                    late++;
                    mRecord.add(
                            "DRAIN broken: request %s reached sampler %s %d ms after the removal",
                            run.id(), leaving.id, run.millis() - removedAt);
                }
            }
            Thread.sleep(1_500);
        }
        mCalling = false;
        Thread.sleep(1_000);
        synchronized (this) {
            mRecord.add(
                    "%d requests, %d without their answer; %d reached a sampler too late",
                    mCalls, mLost, late);
            if (mCalls < 100) {
                return 2;
            }
        }
        return late > 0 ? 1 : 0;
    }
}
