import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's metadata store, as PROTOCOL.md describes it: items with revisions,
 * ranges, watches, transactions and leases. It loses nothing, and its answers are linearizable.
 */
final class Store {
    record Item(String key, byte[] value, long rev, long created, long lease) {}

    /** A change; the item is null if the key was removed. */
    record Change(long rev, String key, Item item) {}

    private static final class Lease {
        long ttlMillis;
        long endsAt;
    }

    private static final class Waiting {
        final HttpExchange exchange;
        final String prefix;
        boolean cut;

        Waiting(HttpExchange exchange, String prefix) {
            this.exchange = exchange;
            this.prefix = prefix;
        }
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final HttpServer mServer;
    private long mRevision = 1;
    private long mLastLease = 100;
    private long mDiscarded;

    private Store(HttpServer server) {
        mServer = server;
    }

    static Store start() throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Store store = new Store(server);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", store::handle);
        server.start();
        Thread leases = new Thread(store::expireLeases, "leases");
        leases.setDaemon(true);
        leases.start();
        return store;
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    /** Writes a key as the operator, a trainer or a sampler does; returns the revision. */
    synchronized long put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), ++mRevision, 0);
        notifyAll();
        return mRevision;
    }

    synchronized void remove(String key) {
        if (mItems.containsKey(key)) {
            delete(key, ++mRevision);
            notifyAll();
        }
    }

    synchronized Item get(String key) {
        return mItems.get(key);
    }

    synchronized long now() {
        return mRevision;
    }

    /** Cuts the watches that are waiting now: closes their connections without an answer. */
    int cutWaitingWatches() {
        List<Waiting> cut;
        synchronized (this) {
            cut = new ArrayList<>(mWaiting);
            cut.forEach(one -> one.cut = true);
            notifyAll();
        }
        return cut.size();
    }

    /** Discards the history: watches from an earlier revision are answered 410. */
    synchronized void discardHistory() {
        mHistory.clear();
        mDiscarded = mRevision;
    }

    private void write(String key, byte[] value, long rev, long lease) {
        Item before = mItems.get(key);
        Item item = new Item(key, value, rev, before == null ? rev : before.created(), lease);
        mItems.put(key, item);
        mHistory.add(new Change(rev, key, item));
    }

    private void delete(String key, long rev) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Change(rev, key, null));
        }
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = new ArrayList<>();
                mLeases.forEach(
                        (id, lease) -> {
                            if (now - lease.endsAt >= 0) {
                                ended.add(id);
                            }
                        });
                ended.forEach(this::endLease);
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized boolean endLease(long id) {
        if (mLeases.remove(id) == null) {
            return false;
        }
        List<String> keys = new ArrayList<>();
        mItems.values().stream().filter(i -> i.lease() == id).forEach(i -> keys.add(i.key()));
        if (!keys.isEmpty()) {
            mRevision++;
            keys.forEach(key -> delete(key, mRevision));
            notifyAll();
        }
        return true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getRawPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        try {
            switch (path) {
                case "/kv-key" -> getKey(exchange, query.get("key"));
                case "/kv-range" -> range(exchange, query);
                case "/kv-watch" -> watch(exchange, query);
                case "/kv-txn" -> commit(exchange, body);
                case "/kv-lease" -> grant(exchange, body);
                default -> leaseCall(exchange, path);
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static String json(Item item) {
        return "{\"key\":"
                + Json.quote(item.key())
                + ",\"value\":\""
                + Base64.getEncoder().encodeToString(item.value())
                + "\",\"rev\":"
                + item.rev()
                + ",\"created\":"
                + item.created()
                + ",\"lease\":"
                + item.lease()
                + "}";
    }

    private void getKey(HttpExchange exchange, String key) throws IOException {
        Item item;
        long rev;
        synchronized (this) {
            item = mItems.get(key);
            rev = mRevision;
        }
        if (item == null) {
            send(exchange, 404, "{}");
        } else {
            String text = json(item);
            send(
                    exchange,
                    200,
                    text.substring(0, text.length() - 1) + ",\"as_of\":" + rev + "}");
        }
    }

    private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        boolean truncated = false;
        long rev;
        synchronized (this) {
            rev = mRevision;
            int bytes = 0;
            for (Item item : mItems.tailMap(prefix, true).values()) {
                if (!item.key().startsWith(prefix)) {
                    break;
                }
                if (item.key().compareTo(after) <= 0 && !after.isEmpty()) {
                    continue;
                }
                if (found.size() == 500 || bytes + item.value().length > 1_000_000 && bytes > 0) {
                    truncated = true;
                    break;
                }
                bytes += item.value().length;
                found.add(json(item));
            }
        }
        send(
                exchange,
                200,
                "{\"items\":["
                        + String.join(",", found)
                        + "],\"truncated\":"
                        + truncated
                        + ",\"as_of\":"
                        + rev
                        + "}");
    }

    private void watch(HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        Waiting waiting = new Waiting(exchange, prefix);
        String answer;
        boolean gone;
        synchronized (this) {
            mWaiting.add(waiting);
            List<String> events = events(prefix, after);
            while (events.isEmpty() && after >= mDiscarded && !waiting.cut && until - System.nanoTime() > 0) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                events = events(prefix, after);
            }
            mWaiting.remove(waiting);
            gone = after < mDiscarded;
            answer =
                    "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + mRevision + "}";
        }
        if (waiting.cut) {
            exchange.close();
        } else if (gone) {
            send(exchange, 410, "{}");
        } else {
            send(exchange, 200, answer);
        }
    }

    private List<String> events(String prefix, long after) {
        List<String> events = new ArrayList<>();
        for (int i = mHistory.size() - 1; i >= 0 && mHistory.get(i).rev() > after; i--) {
            Change change = mHistory.get(i);
            if (change.key().startsWith(prefix)) {
                events.add(
                        0,
                        change.item() != null
                                ? json(change.item())
                                : "{\"key\":"
                                        + Json.quote(change.key())
                                        + ",\"rev\":"
                                        + change.rev()
                                        + ",\"deleted\":true}");
            }
        }
        return events;
    }

    @SuppressWarnings("unchecked")
    private void commit(HttpExchange exchange, byte[] body) throws IOException {
        Map<String, Object> txn = (Map<String, Object>) Json.parse(body);
        List<Map<String, Object>> expect = (List<Map<String, Object>>) txn.get("expect");
        List<Map<String, Object>> writes = (List<Map<String, Object>>) txn.get("writes");
        List<String> removals = (List<String>) txn.get("remove");
        int status = 200;
        String answer;
        synchronized (this) {
            List<String> current = new ArrayList<>();
            boolean holds = true;
            for (Map<String, Object> row : expect) {
                Item item = mItems.get((String) row.get("key"));
                long rev = item == null ? 0 : item.rev();
                holds &= rev == ((Number) row.get("rev")).longValue();
                if (item != null) {
                    current.add(json(item));
                }
            }
            boolean leased = true;
            for (Map<String, Object> row : writes) {
                leased &= lease(row) == 0 || mLeases.containsKey(lease(row));
            }
            if (!leased) {
                status = 404;
                answer = "{}";
            } else if (!holds) {
                status = 412;
                answer = "{\"items\":[" + String.join(",", current) + "]}";
            } else {
                mRevision++;
                for (Map<String, Object> row : writes) {
                    byte[] value = Base64.getDecoder().decode((String) row.get("value"));
                    write((String) row.get("key"), value, mRevision, lease(row));
                }
                if (removals != null) {
                    removals.forEach(key -> delete(key, mRevision));
                }
                notifyAll();
                answer = "{\"rev\":" + mRevision + "}";
            }
        }
        send(exchange, status, answer);
    }

    private static long lease(Map<String, Object> row) {
        Object lease = row.get("lease");
        return lease == null ? 0 : ((Number) lease).longValue();
    }

    @SuppressWarnings("unchecked")
    private void grant(HttpExchange exchange, byte[] body) throws IOException {
        long ttl = ((Number) ((Map<String, Object>) Json.parse(body)).get("ttl_ms")).longValue();
        long id;
        synchronized (this) {
            id = ++mLastLease;
            Lease lease = new Lease();
            lease.ttlMillis = ttl;
            lease.endsAt = System.nanoTime() + ttl * 1_000_000;
            mLeases.put(id, lease);
        }
        send(exchange, 200, "{\"lease\":" + id + ",\"ttl_ms\":" + ttl + "}");
    }

    private void leaseCall(HttpExchange exchange, String path) throws IOException {
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/kv-keep/")) {
            long ttl = 0;
            synchronized (this) {
                Lease lease = mLeases.get(id);
                if (lease != null) {
                    ttl = lease.ttlMillis;
                    lease.endsAt = System.nanoTime() + ttl * 1_000_000;
                }
            }
            send(exchange, ttl == 0 ? 404 : 200, "{\"ttl_ms\":" + ttl + "}");
        } else {
            send(exchange, endLease(id) ? 200 : 404, "{}");
        }
    }

    private static void send(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
