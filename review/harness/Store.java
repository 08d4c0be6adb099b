import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of the platform's store. Each machine of the system has a port of its own, so that the
 * store can turn a single machine away with 503 while it serves the others and the operator.
 */
final class Store {
    record Item(String key, String value, long rev, long created, long lease) {}

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mHistory = new ArrayList<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private long mRevision = 1;
    private long mLastLease;
    private final java.util.Set<Integer> mTurnedAway = new java.util.HashSet<>();

    Store() {
        Http.thread("leases", this::expireLeases);
    }

    /** Opens a port for one machine. */
    int openPort() throws IOException {
        int[] port = new int[1];
        Http.Server server =
                new Http.Server((request, out, socket) -> handle(port[0], request, out, socket));
        port[0] = server.mPort;
        return server.mPort;
    }

    /** Turns a machine away with 503 from now on, or serves it again. */
    synchronized void turnAway(int port, boolean away) {
        if (away) {
            mTurnedAway.add(port);
        } else {
            mTurnedAway.remove(port);
        }
        notifyAll();
    }

    private synchronized boolean isTurnedAway(int port) {
        return mTurnedAway.contains(port);
    }

    private synchronized void expireLeases() {
        try {
            while (true) {
                long now = System.nanoTime();
                for (Long id : List.copyOf(mLeases.keySet())) {
                    if (now - mLeases.get(id)[1] >= 0) {
                        endLease(id);
                    }
                }
                wait(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endLease(long id) {
        if (mLeases.remove(id) == null) {
            return;
        }
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease() == id) {
                remove(item.key(), ++mRevision);
            }
        }
        notifyAll();
    }

    private void remove(String key, long rev) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Item(key, null, rev, 0, 0));
        }
    }

    private void write(String key, String value, long lease, long rev) {
        Item before = mItems.get(key);
        Item item = new Item(key, value, rev, before == null ? rev : before.created(), lease);
        mItems.put(key, item);
        mHistory.add(item);
    }

    /** Writes a key as the operator or a sampler does. */
    synchronized void put(String key, String text) {
        String value =
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        write(key, value, 0, ++mRevision);
        notifyAll();
    }

    /** Returns the value of a key; null if there is none. */
    synchronized String get(String key) {
        Item item = mItems.get(key);
        return item == null
                ? null
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private boolean handle(int port, Http.Message request, OutputStream out, Socket socket)
            throws Exception {
        if (isTurnedAway(port)) {
            Http.respond(out, 503, "{}", "Content-Type", "application/json");
            return true;
        }
        String path = request.path();
        Map<String, String> query = request.query();
        String[] answer;
        if (path.equals("/kv-watch")) {
            answer = watch(port, query);
        } else {
            Thread.sleep(4);
            answer = answer(path, query, request);
        }
        Http.respond(
                out, Integer.parseInt(answer[0]), answer[1], "Content-Type", "application/json");
        return true;
    }

    private synchronized String[] answer(
            String path, Map<String, String> query, Http.Message request) {
        if (path.equals("/kv-key")) {
            Item item = mItems.get(query.get("key"));
            return item == null
                    ? new String[] {"404", "{}"}
                    : new String[] {
                        "200", json(item, ",\"as_of\":" + mRevision)
                    };
        }
        if (path.equals("/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        }
        if (path.equals("/kv-lease")) {
            long ttl = ((Number) Json.object(request.text()).get("ttl_ms")).longValue();
            mLeases.put(++mLastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
            return new String[] {"200", "{\"lease\":" + mLastLease + ",\"ttl_ms\":" + ttl + "}"};
        }
        if (path.startsWith("/kv-keep/")) {
            long[] lease = mLeases.get(Long.parseLong(path.substring(9)));
            if (lease == null) {
                return new String[] {"404", "{}"};
            }
            lease[1] = System.nanoTime() + lease[0] * 1_000_000;
            return new String[] {"200", "{\"ttl_ms\":" + lease[0] + "}"};
        }
        if (path.startsWith("/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring(14)));
            return new String[] {"200", "{}"};
        }
        if (path.equals("/kv-txn")) {
            return commit(Json.object(request.text()));
        }
        return new String[] {"404", "{}"};
    }

    private String[] range(String prefix, String after) {
        StringBuilder items = new StringBuilder();
        long bytes = 0;
        int count = 0;
        boolean truncated = false;
        for (Item item : mItems.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) <= 0) {
                continue;
            }
            if (count == 500 || (count > 0 && bytes + item.value().length() > 1_000_000)) {
                truncated = true;
                break;
            }
            items.append(count == 0 ? "" : ",").append(json(item, ""));
            bytes += item.value().length();
            count++;
        }
        return new String[] {
            "200",
            "{\"items\":[" + items + "],\"truncated\":" + truncated + ",\"as_of\":" + mRevision + "}"
        };
    }

    private static String json(Item item, String more) {
        if (item.value() == null) {
            return "{\"key\":\"" + item.key() + "\",\"rev\":" + item.rev() + ",\"deleted\":true}";
        }
        return "{\"key\":\""
                + item.key()
                + "\",\"value\":\""
                + item.value()
                + "\",\"rev\":"
                + item.rev()
                + ",\"created\":"
                + item.created()
                + ",\"lease\":"
                + item.lease()
                + more
                + "}";
    }

    private synchronized String[] watch(int port, Map<String, String> query)
            throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            if (mTurnedAway.contains(port)) {
                return new String[] {"503", "{}"};
            }
            StringBuilder events = new StringBuilder();
            int count = 0;
            for (int i = firstAfter(after); i < mHistory.size() && count < 500; i++) {
                Item item = mHistory.get(i);
                if (item.key().startsWith(prefix)) {
                    events.append(count++ == 0 ? "" : ",").append(json(item, ""));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (count > 0 || left <= 0) {
                return new String[] {
                    "200", "{\"events\":[" + events + "],\"as_of\":" + mRevision + "}"
                };
            }
            wait(left);
        }
    }

    private int firstAfter(long revision) {
        int low = 0;
        int high = mHistory.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (mHistory.get(middle).rev() > revision) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    @SuppressWarnings("unchecked")
    private String[] commit(Map<String, Object> body) {
        List<Object> expect = (List<Object>) body.getOrDefault("expect", List.of());
        List<Object> writes = (List<Object>) body.getOrDefault("writes", List.of());
        List<Object> removals = (List<Object>) body.getOrDefault("remove", List.of());
        boolean holds = true;
        StringBuilder current = new StringBuilder();
        for (Object row : expect) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = mItems.get((String) expected.get("key"));
            long rev = ((Number) expected.get("rev")).longValue();
            holds &= (item == null ? 0 : item.rev()) == rev;
            if (item != null) {
                current.append(current.length() == 0 ? "" : ",").append(json(item, ""));
            }
        }
        if (!holds) {
            return new String[] {"412", "{\"items\":[" + current + "]}"};
        }
        for (Object row : writes) {
            Map<String, Object> write = (Map<String, Object>) row;
            long lease = ((Number) write.getOrDefault("lease", 0L)).longValue();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new String[] {"404", "{}"};
            }
            if (((String) write.get("value")).length() > 1_048_576 * 4 / 3 + 4) {
                return new String[] {"413", "{}"};
            }
        }
        long rev = ++mRevision;
        for (Object row : writes) {
            Map<String, Object> write = (Map<String, Object>) row;
            write(
                    (String) write.get("key"),
                    (String) write.get("value"),
                    ((Number) write.getOrDefault("lease", 0L)).longValue(),
                    rev);
        }
        removals.forEach(key -> remove((String) key, rev));
        notifyAll();
        return new String[] {"200", "{\"rev\":" + rev + "}"};
    }
}
