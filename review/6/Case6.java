import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A trainer on a route with single_version asks steps ahead: two are open at once. The process that
 * owns the older step is killed, and started again after 3.5 s, soon after the trainer has named
 * the next version. Checks that no item of that step is at no sampler for 5 s of steady state until
 * the trainer's time is up.
 */
public final class Case6 {
    private static final int ENGINES = 6;
    private static final int GROUPS = 8;
    private static final int GROUP_SIZE = 4;
    private static final long DOWN_MS = 3_500;
    private static final long CONTACT_MS = 3_000;
    private static final long AWAY_MS = 5_000;
    private static final long DEADLINE_MS = 16_000;

    /** When each item was last at a sampler; Long.MAX_VALUE while it is at one. */
    private static final Map<String, Long> LEFT = new ConcurrentHashMap<>();
    private static final Set<String> FINISHED = ConcurrentHashMap.newKeySet();
    private static volatile String sHolder = "";
    private static volatile long sChangedAt;

    private Case6() {}

    public static void main(String[] args) throws Exception {
        Kit.open(args[0] + "/record.txt");
        Path dir = Files.createTempDirectory("case6");
        Kit.Store store = new Kit.Store();
        ObjectNode config = Kit.config(7);
        ((ObjectNode) config.path("routes").get(0)).put("single_version", true);
        store.write("op/config", config);
        Kit.Plan plan =
                new Kit.Plan() {
                    @Override
                    public int events(String id) {
                        return id.startsWith("step2") ? 50 : 10;
                    }

                    @Override
                    public int bytes(String id) {
                        return 200;
                    }

                    @Override
                    public long pauseMillis(String id, int event) {
                        return id.startsWith("step2") ? 100 : 30;
                    }
                };
        Kit.Watcher watcher = watcher();
        List<Kit.Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Kit.Engine(store, "i-engine" + i, "models", "m0", plan, watcher));
        }
        for (int i = 0; i < 4; i++) {
            String id = "i-plain" + i;
            Kit.plainSampler(store, id, "plain", exchange -> reward(exchange, id));
        }
        List<Kit.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Kit.Entry entry = new Kit.Entry("edge-" + i, dir, store.mPort);
            entry.start();
            entries.add(entry);
        }
        entries.forEach(entry -> entry.awaitReady(20_000));
        Kit.sleep(4_000);
        submit(entries.get(0), "step0", 0, 1);
        Kit.sleep(1_500);
        end(entries.get(0), "step0");
        name(store, 2);
        for (long until = Kit.now() + 8_000; sHolder.isEmpty(); ) {
            Kit.sleep(50);
            if (Kit.now() > until) {
                Kit.exit(2, "no order was given");
            }
        }
        Kit.sleep(6_000);
        // The one that will be killed doesn't give the orders.
        List<Kit.Entry> others = new ArrayList<>(entries);
        others.removeIf(entry -> entry.mName.equals(sHolder));
        Kit.Entry owner = others.get(0);
        Kit.log("orders come from " + sHolder + ", the steps go to " + owner.mName + " and " + others.get(1).mName);
        submit(owner, "step2", 2, 1);
        long submittedAt = Kit.now();
        Kit.sleep(2_600);
        name(store, 3);
        long namedAt = Kit.now();
        submit(others.get(1), "step3", 3, 2);
        Kit.sleep(200);
        long backAt = Kit.now();
        if (Kit.TROUBLE) {
            owner.mProcess.destroyForcibly().waitFor();
            Kit.log("kill " + owner.mName);
            Kit.sleep(DOWN_MS);
            owner.start();
            backAt = Kit.now();
        }
        // In touch again contact_ms after the start; no version was named in the 6 s before.
        long steadyAt = Math.max(backAt + CONTACT_MS, namedAt + 6_000);
        int next = 0;
        Set<String> listed = new HashSet<>();
        boolean underHalf = true;
        while (Kit.now() - submittedAt < DEADLINE_MS && listed.size() < GROUPS * GROUP_SIZE) {
            Kit.Reply read =
                    Kit.call(
                            others.get(1).mFront, "GET", "/lots/step2?after=" + next,
                            Map.of(), new byte[0], 2_500);
            if (read.status() == 200) {
                read.json().path("results").forEach(r -> listed.add(r.path("id").asText()));
                next = read.json().path("next").asInt();
            }
            int running = engines.stream().mapToInt(Kit.Engine::running).sum();
            if (Kit.now() >= steadyAt) {
                underHalf &= 2 * running < ENGINES * 8;
            }
            Kit.log("step2: " + listed.size() + " listed; running at samplers: " + running);
            Kit.sleep(500);
        }
        long stoppedAt = Kit.now();
        Set<String> away = new TreeSet<>();
        LEFT.forEach(
                (id, left) -> {
                    if (id.startsWith("step2") && !FINISHED.contains(id) && left < Long.MAX_VALUE) {
                        long since = Math.max(left, steadyAt);
                        if (stoppedAt - since >= AWAY_MS) {
                            away.add(id + " (" + (stoppedAt - left) + " ms)");
                        }
                    }
                });
        Kit.log("steady from " + steadyAt + " to " + stoppedAt + ", samplers under half full: " + underHalf
                + ", last change of a sampler's version at " + sChangedAt);
        end(others.get(1), "step2");
        if (!Kit.TROUBLE && listed.size() < GROUPS * GROUP_SIZE) {
            Kit.exit(2, "only " + listed.size() + " results without the disruption");
        }
        if (!away.isEmpty() && underHalf) {
            Kit.exit(1, "LOST: the step ran out of time, and these items were at no sampler: " + away);
        }
        Kit.exit(0, listed.size() + " results, no item was away from the samplers");
    }

    private static Kit.Watcher watcher() {
        return new Kit.Watcher() {
            @Override
            public void onRun(String sampler, String id, int after, int version) {
                LEFT.put(id, Long.MAX_VALUE);
                Kit.log("run " + id + " at " + sampler + " after " + after + " under version " + version);
            }

            @Override
            public void onRunEnd(String sampler, String id, boolean complete) {
                LEFT.put(id, Kit.now());
                if (complete) {
                    FINISHED.add(id);
                }
                Kit.log("run of " + id + " at " + sampler + (complete ? " is complete" : " is broken off"));
            }

            @Override
            public void onOrder(String sampler, String holder, int version, int status) {
                sHolder = holder;
                Kit.log("order of " + holder + " to " + sampler + ": version " + version + " -> " + status);
            }

            @Override
            public void onVersion(String sampler, int version) {
                sChangedAt = Kit.now();
                Kit.log(sampler + " has version " + version);
            }
        };
    }

    private static void name(Kit.Store store, int version) {
        store.write("op/version/m0", Kit.JSON.createObjectNode().put("model", "m0").put("version", version));
        Kit.log("version " + version + " is named");
    }

    private static void submit(Kit.Entry entry, String id, int step, int minVersion) {
        Kit.Reply reply =
                Kit.call(
                        entry.mFront, "POST", "/roll/" + id,
                        Map.of("X-Request-Id", id, "Content-Type", "application/json"),
                        Kit.job(id, step, minVersion, GROUPS, GROUP_SIZE, GROUPS), 5_000);
        Kit.log("submit " + id + " to " + entry.mName + " -> " + reply.status());
        if (reply.status() != 202) {
            Kit.exit(2, "the step was not accepted: " + reply);
        }
    }

    private static void end(Kit.Entry entry, String id) {
        Kit.Reply reply = Kit.call(entry.mFront, "DELETE", "/lots/" + id, Map.of(), new byte[0], 3_000);
        Kit.log("end " + id + " -> " + reply.status());
    }

    private static void reward(Kit.Exchange exchange, String sampler) throws IOException {
        String id = exchange.header("X-Request-Id");
        Kit.sleep(20);
        exchange.respond(
                200,
                Map.of(
                        "X-Request-Id", id,
                        "X-Server-Stamp", "st-" + sampler + "-" + id,
                        "X-Instance-Id", sampler),
                "ok".getBytes());
    }
}
