import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of a sampler: of a plain service, or with models whose weights orders change. It
 * writes its entry into the store, and records all that arrives.
 */
final class Sampler {
    /** A request or an order as it arrived; what does not apply is empty. */
    record Arrival(long millis, String id, String holder, long fence, String what) {}

    private static final long BEAT_MILLIS = 1_200;
    private static final long LOAD_MILLIS = 900;

    final String id;
    final List<Arrival> arrivals = new ArrayList<>();
    private final String mService;
    private final int mSlots;
    private final long mWorkMillis;
    private final int mEvents;
    private final long mEventMillis;
    private final Store mStore;
    private final RunRecord mRecord;
    private final HttpServer mServer;
    private final Map<String, Integer> mVersions = new TreeMap<>();
    private long mBeats;
    private long mOrders;
    private long mBusyUntil;
    private int mRunning;
    private final List<String> mOpen = new ArrayList<>();
    private String mState = "ready";
    private volatile boolean mBeating = true;
    private volatile boolean mExited;

    Sampler(
            String id,
            String service,
            int slots,
            long workMillis,
            List<String> models,
            Store store,
            RunRecord record)
            throws IOException {
        this(id, service, slots, workMillis, 0, 0, models, store, record);
    }

    /**
     * @param events the number of events of a stream; zero for a plain service
     * @param eventMillis the time between two events
     */
    Sampler(
            String id,
            String service,
            int slots,
            long workMillis,
            int events,
            long eventMillis,
            List<String> models,
            Store store,
            RunRecord record)
            throws IOException {
        mEvents = events;
        mEventMillis = eventMillis;
        this.id = id;
        mService = service;
        mSlots = slots;
        mWorkMillis = workMillis;
        mStore = store;
        mRecord = record;
        models.forEach(model -> mVersions.put(model, 1));
        mServer =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        mServer.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, id);
                            thread.setDaemon(true);
                            return thread;
                        }));
        mServer.createContext("/", this::handle);
        mServer.start();
        Thread beats = new Thread(this::beat, id + "-beats");
        beats.setDaemon(true);
        beats.start();
    }

    private synchronized String models() {
        List<String> models = new ArrayList<>();
        mVersions.forEach(
                (name, version) ->
                        models.add(
                                "{\"name\":\""
                                        + name
                                        + "\",\"version\":"
                                        + version
                                        + ",\"adapters\":[]}"));
        return "[" + String.join(",", models) + "]";
    }

    private void beat() {
        while (mBeating) {
            writeEntry();
            try {
                Thread.sleep(BEAT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void writeEntry() {
        if (mBeating) {
            mStore.put(
                    "servers/" + id,
                    "{\"service\":\""
                            + mService
                            + "\",\"addr\":\"127.0.0.1:"
                            + mServer.getAddress().getPort()
                            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":"
                            + mSlots
                            + ",\"state\":\""
                            + mState
                            + "\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":"
                            + models()
                            + ",\"seq\":"
                            + ++mBeats
                            + "}");
        }
    }

    /** Leaves without having reported that it drains: its entry is removed. */
    synchronized void removeEntry() {
        mBeating = false;
        mStore.remove("servers/" + id);
    }

    /** Exits: what it still runs ends with its connections. */
    void exit() {
        mExited = true;
        mServer.stop(0);
    }

    synchronized List<Arrival> arrivals() {
        return new ArrayList<>(arrivals);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        long millis = mRecord.millis();
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.getResponseHeaders().set("X-Instance-Id", id);
            send(exchange, 421, "");
        } else if (path.equals("/report")) {
            report(exchange);
        } else if (path.equals("/order")) {
            order(exchange, body, millis);
        } else if (mEvents > 0) {
            stream(exchange, millis);
        } else {
            run(exchange, millis);
        }
    }

    /** The runs that are open now. */
    synchronized int running() {
        return mRunning;
    }

    /** The open runs of the items of a job. */
    synchronized long running(String job) {
        return mOpen.stream().filter(item -> item.startsWith(job + "-")).count();
    }

    private void stream(HttpExchange exchange, long millis) throws IOException {
        String request = exchange.getRequestHeaders().getFirst("X-Request-Id");
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        synchronized (this) {
            arrivals.add(new Arrival(millis, request, "", 0, "run"));
            mRunning++;
            mOpen.add(request);
        }
        mRecord.add("sampler %s: runs item %s after event %s", id, request, last);
        int next = last == null ? 1 : Integer.parseInt(last) + 1;
        // Texts differ in length.
        int events =
                request.startsWith("long")
                        ? 6 * mEvents
                        : request.startsWith("mid")
                                ? mEvents * 3 / 2
                                : request.contains("-short") ? 5 : mEvents;
        try {
            exchange.getResponseHeaders().set("X-Request-Id", request);
            exchange.getResponseHeaders().set("X-Server-Stamp", id + "." + request);
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            if (!mVersions.isEmpty()) {
                exchange.getResponseHeaders()
                        .set(
                                "X-Weight-Versions",
                                "" + mVersions.get(exchange.getRequestHeaders().getFirst("X-Model")));
            }
            exchange.sendResponseHeaders(200, 0);
            for (int event = next; event <= events; event++) {
                Thread.sleep(mEventMillis);
                exchange.getResponseBody()
                        .write(
                                ("id: " + event + "\ndata: " + request + "-" + event + "\n\n")
                                        .getBytes(StandardCharsets.UTF_8));
                exchange.getResponseBody().flush();
            }
            exchange.close();
            mRecord.add("sampler %s: has finished item %s", id, request);
        } catch (IOException | InterruptedException e) {
            mRecord.add("sampler %s: drops item %s, its connection has ended", id, request);
            exchange.close();
        } finally {
            synchronized (this) {
                mRunning--;
                mOpen.remove(request);
            }
        }
    }

    private void report(HttpExchange exchange) throws IOException {
        String text;
        synchronized (this) {
            text =
                    "{\"stage\":\"both\",\"models\":"
                            + models()
                            + ",\"busy\":"
                            + (System.nanoTime() - mBusyUntil < 0)
                            + ",\"seq\":"
                            + mOrders
                            + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":42438,"
                            + "\"handles\":0}";
        }
        send(exchange, 200, text);
    }

    @SuppressWarnings("unchecked")
    private void order(HttpExchange exchange, byte[] body, long millis) throws IOException {
        Map<String, Object> order = (Map<String, Object>) Json.parse(body);
        String holder = (String) order.get("holder");
        long fence = ((Number) order.get("fence")).longValue();
        String model = (String) order.get("model");
        int version = ((Number) order.get("version")).intValue();
        Object expect = order.get("expect");
        int status;
        synchronized (this) {
            if (System.nanoTime() - mBusyUntil < 0
                    || expect != null && ((Number) expect).longValue() != mOrders) {
                status = 409;
            } else if (mVersions.getOrDefault(model, 0) >= version) {
                status = 200;
            } else {
                status = 202;
                mOrders++;
                mBusyUntil = System.nanoTime() + LOAD_MILLIS * 1_000_000;
                Thread load = new Thread(() -> load(model, version), id + "-load");
                load.setDaemon(true);
                load.start();
            }
            arrivals.add(new Arrival(millis, "", holder, fence, model + " " + version));
        }
        mRecord.add(
                "sampler %s: order %s to version %d by %s with fence %d: %d",
                id, model, version, holder, fence, status);
        send(exchange, status, "");
    }

    private void load(String model, int version) {
        try {
            Thread.sleep(LOAD_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            mVersions.put(model, version);
        }
        writeEntry();
    }

    private void run(HttpExchange exchange, long millis) throws IOException {
        String request = exchange.getRequestHeaders().getFirst("X-Request-Id");
        synchronized (this) {
            arrivals.add(new Arrival(millis, request, "", 0, "run"));
        }
        mRecord.add("sampler %s: runs request %s", id, request);
        try {
            Thread.sleep(mWorkMillis);
        } catch (InterruptedException e) {
            return;
        }
        if (mExited) {
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set("X-Request-Id", request);
        exchange.getResponseHeaders().set("X-Server-Stamp", id + "." + request);
        send(exchange, 200, "answer to " + request);
    }

    private static void send(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }
}
