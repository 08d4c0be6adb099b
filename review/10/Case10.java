import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of four plain samplers leaves a part of its requests unanswered until their deadline, at
 * which it answers 504. Some reward calls fail with 500 at the other samplers. Checks that no item
 * is dead before its reward call had max_attempts answers of 500.
 */
public final class Case10 {
    private static final int PLAIN = 4;
    private static final int MAX_ATTEMPTS = 4;
    private static final int GROUPS = 8;
    private static final int GROUP_SIZE = 8;
    private static final int TRAINERS = 4;
    private static final long EVERY_MS = 4_000;
    private static final long STOP_MS = 95_000;
    // Every 16th reward call always fails.
    private static final int FAILS_EVERY = 16;

    private static final AtomicInteger sDead = new AtomicInteger();
    private static final Map<String, AtomicInteger> ANSWERS_500 = new ConcurrentHashMap<>();
    private static final Map<String, AtomicInteger> ANSWERS_504 = new ConcurrentHashMap<>();
    private static final Set<String> HUNG = ConcurrentHashMap.newKeySet();

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Kit.open(args[0] + "/record.txt");
        Path dir = Files.createTempDirectory("case10");
        Kit.Store store = new Kit.Store();
        store.write("op/config", Kit.config(7));
        Kit.Plan plan =
                new Kit.Plan() {
                    @Override
                    public int events(String id) {
                        return 10;
                    }

                    @Override
                    public int bytes(String id) {
                        return 200;
                    }

                    @Override
                    public long pauseMillis(String id, int event) {
                        return 25;
                    }
                };
        for (int i = 0; i < 4; i++) {
            new Kit.Engine(store, "i-engine" + i, "models", "m0", plan);
        }
        for (int i = 0; i < PLAIN; i++) {
            int number = i;
            Semaphore slots = new Semaphore(6);
            Kit.plainSampler(store, "i-plain" + i, "plain", e -> reward(e, number, slots));
        }
        List<Kit.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Kit.Entry entry = new Kit.Entry("edge-" + i, dir, store.mPort);
            entry.start();
            entries.add(entry);
        }
        entries.forEach(entry -> entry.awaitReady(20_000));
        Kit.sleep(4_000);
        List<String> early = new CopyOnWriteArrayList<>();
        List<Thread> trainers = new ArrayList<>();
        for (int i = 0; i < TRAINERS; i++) {
            int trainer = i;
            trainers.add(Kit.spawn(() -> train(trainer, entries.get(trainer % 2), early)));
        }
        for (Thread trainer : trainers) {
            trainer.join();
        }
        Kit.log("dead items: " + sDead + ", of these too early: " + early.size());
        if (early.isEmpty()) {
            Kit.exit(0, "no item was dead too early");
        }
        Kit.exit(1, "MIXED: " + early);
    }

    private static void train(int trainer, Kit.Entry entry, List<String> early) {
        for (int step = 0; Kit.now() < STOP_MS && early.isEmpty(); step++) {
            long began = Kit.now();
            step(trainer, step, entry, early);
            Kit.sleep(EVERY_MS - (Kit.now() - began));
        }
    }

    private static void step(int trainer, int number, Kit.Entry entry, List<String> early) {
        String id = "t" + trainer + "step" + number;
        int status =
                Kit.call(
                                entry.mFront, "POST", "/roll/" + id,
                                Map.of("X-Request-Id", id, "Content-Type", "application/json"),
                                Kit.job(id, number, GROUPS, GROUP_SIZE, GROUPS), 5_000)
                        .status();
        Kit.log("submit " + id + " -> " + status);
        if (status != 202) {
            Kit.exit(2, "the step was not accepted: " + status);
        }
        int next = 0;
        long until = Kit.now() + 12_000;
        while (next < GROUPS * GROUP_SIZE && Kit.now() < until) {
            Kit.Reply read =
                    Kit.call(
                            entry.mFront, "GET", "/lots/" + id + "?after=" + next,
                            Map.of("X-Wait-Ms", "500"), new byte[0], 3_000);
            for (var result : read.json().path("results")) {
                if (result.path("state").asText().equals("dead")) {
                    sDead.incrementAndGet();
                    String call = "rw-" + result.path("id").asText();
                    int errors = count(ANSWERS_500, call);
                    String line =
                            call + ": " + errors + " answers of 500, "
                                    + count(ANSWERS_504, call) + " of 504";
                    Kit.log("dead, " + line);
                    if (errors < MAX_ATTEMPTS) {
                        early.add(line);
                    }
                }
            }
            next = read.status() == 200 ? read.json().path("next").asInt() : next;
            Kit.sleep(100);
        }
        Kit.call(entry.mFront, "DELETE", "/lots/" + id, Map.of(), new byte[0], 3_000);
        Kit.log("end " + id + " with " + next + " results read");
    }

    private static int count(Map<String, AtomicInteger> counts, String call) {
        AtomicInteger count = counts.get(call);
        return count == null ? 0 : count.get();
    }

    private static boolean alwaysFails(String call) {
        String[] parts = call.split("-");
        int item = Integer.parseInt(parts[2]) * GROUP_SIZE + Integer.parseInt(parts[3]);
        return item % FAILS_EVERY == 5;
    }

    private static void reward(Kit.Exchange exchange, int number, Semaphore slots)
            throws IOException {
        String id = exchange.header("X-Request-Id");
        String sampler = "i-plain" + number;
        if (!slots.tryAcquire()) {
            exchange.respond(
                    503,
                    Map.of("X-Request-Id", id, "X-Not-Run", "1", "X-Instance-Id", sampler),
                    new byte[0]);
            return;
        }
        try {
            long receivedAt = Kit.now();
            long deadline = Long.parseLong(exchange.header("X-Deadline-Ms"));
            int status = alwaysFails(id) ? 500 : 200;
            // Two of five requests at the grey sampler, by their ids.
            boolean hangs = Kit.TROUBLE && number == 0 && Math.floorMod(id.hashCode(), 5) < 2;
            if (hangs) {
                HUNG.add(id);
                status = 504;
                Kit.sleep(deadline);
            } else {
                Kit.sleep(60);
            }
            if (status == 500) {
                ANSWERS_500.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            } else if (status == 504) {
                ANSWERS_504.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            }
            Kit.log(id + " at " + sampler + " -> " + status + " after " + (Kit.now() - receivedAt)
                    + " ms of " + deadline);
            exchange.respond(
                    status,
                    Map.of(
                            "X-Request-Id", id,
                            "X-Server-Stamp", "st-" + sampler + "-" + id,
                            "X-Instance-Id", sampler),
                    "ok".getBytes());
        } finally {
            slots.release();
        }
    }
}
