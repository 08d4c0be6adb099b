import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the cases of the second review: the platform's store, samplers, a client, and the
 * processes of the project. They follow PROTOCOL.md and behave soundly unless a case says otherwise.
 */
final class Kit {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "case.example";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START = System.nanoTime();
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static PrintWriter sRecord;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
    }

    private Kit() {}

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void open(String file) throws IOException {
        sRecord = new PrintWriter(Files.newBufferedWriter(Path.of(file)));
    }

    static synchronized void log(String line) {
        sRecord.println(String.format("%8d ms  %s", now(), line));
        sRecord.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread spawn(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Ends all processes and the case: 1 if the rule was broken, 0 if it held, 2 if not run. */
    static void exit(int status, String verdict) {
        log("result " + status + ": " + verdict);
        System.out.println("result " + status + ": " + verdict);
        endAll();
        Runtime.getRuntime().halt(status);
    }

    private static void endAll() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
        }
        for (Process process : PROCESSES) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---- HTTP -------------------------------------------------------------------------------

    /** One request at a stand-in. */
    static final class Exchange {
        String mMethod;
        String mPath;
        String mQuery = "";
        final Map<String, String> mHeaders = new LinkedHashMap<>();
        byte[] mBody = new byte[0];
        private final OutputStream mOut;
        boolean mStreaming;
        boolean mClose;

        Exchange(OutputStream out) {
            mOut = out;
        }

        String header(String name) {
            return mHeaders.get(name.toLowerCase(Locale.ROOT));
        }

        String query(String name, String fallback) {
            for (String part : mQuery.split("&")) {
                if (part.startsWith(name + "=")) {
                    return URLDecoder.decode(
                            part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return fallback;
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            mOut.write(all.toByteArray());
            mOut.flush();
        }

        void json(int status, JsonNode body) throws IOException {
            respond(status, Map.of("Content-Type", "application/json"), JSON.writeValueAsBytes(body));
        }

        void begin(int status, Map<String, String> headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            mOut.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            mOut.flush();
        }

        void chunk(byte[] piece) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes((Integer.toHexString(piece.length) + "\r\n").getBytes());
            all.writeBytes(piece);
            all.writeBytes("\r\n".getBytes());
            mOut.write(all.toByteArray());
            mOut.flush();
        }

        void end() throws IOException {
            mOut.write("0\r\n\r\n".getBytes());
            mOut.flush();
        }
    }

    interface Handler {
        void handle(Exchange exchange) throws IOException;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean untilEnd)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                byte[] piece = in.readNBytes(size);
                if (piece.length < size) {
                    throw new EOFException();
                }
                body.writeBytes(piece);
                line(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = headers.get("content-length");
        if (length == null) {
            return untilEnd ? in.readAllBytes() : new byte[0];
        }
        int size = Integer.parseInt(length.trim());
        byte[] body = in.readNBytes(size);
        if (body.length < size) {
            throw new EOFException();
        }
        return body;
    }

    private static void headers(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    static int serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        spawn(
                () -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            socket.setTcpNoDelay(true);
                            spawn(() -> serve(socket, handler));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return server.getLocalPort();
    }

    private static void serve(Socket socket, Handler handler) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] first = line(in).split(" ");
                Exchange exchange = new Exchange(out);
                exchange.mMethod = first[0];
                int query = first[1].indexOf('?');
                exchange.mPath = query < 0 ? first[1] : first[1].substring(0, query);
                exchange.mQuery = query < 0 ? "" : first[1].substring(query + 1);
                headers(in, exchange.mHeaders);
                exchange.mBody = body(in, exchange.mHeaders, false);
                handler.handle(exchange);
                if (exchange.mClose) {
                    return;
                }
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    /** A response that a client got; status 0 if there was none. */
    record Reply(int status, Map<String, String> headers, byte[] body) {
        JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (IOException e) {
                return JSON.createObjectNode();
            }
        }
    }

    /** Sends a request on a new connection. */
    static Reply call(
            int port, String method, String path, Map<String, String> headers, byte[] body, int ms) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(ms);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            head.append("Host: ").append(HOST).append("\r\nConnection: close\r\n");
            headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            int status = Integer.parseInt(line(in).split(" ")[1]);
            Map<String, String> answer = new HashMap<>();
            headers(in, answer);
            return new Reply(status, answer, body(in, answer, true));
        } catch (IOException e) {
            return new Reply(0, Map.of("why", String.valueOf(e)), new byte[0]);
        }
    }

    // ---- the platform's store ---------------------------------------------------------------

    /** The platform's metadata store. */
    static final class Store {
        private static final int MAX_PAGE_BYTES = 1_000_000;

        private record Item(String key, String value, long rev, long created, long lease) {}

        private record Event(long rev, String key, Item item) {}

        private final TreeMap<String, Item> mItems = new TreeMap<>();
        private final List<Event> mHistory = new ArrayList<>();
        private final Map<Long, long[]> mLeases = new HashMap<>();
        private long mRev = 100;
        private long mLastLease = 1000;
        final int mPort;

        Store() throws IOException {
            mPort = serve(this::handle);
            spawn(
                    () -> {
                        while (true) {
                            sleep(20);
                            expire();
                        }
                    });
        }

        private synchronized void expire() {
            long now = now();
            List<Long> ended = new ArrayList<>();
            mLeases.forEach(
                    (id, lease) -> {
                        if (now >= lease[0]) {
                            ended.add(id);
                        }
                    });
            ended.forEach(this::endLease);
        }

        private synchronized boolean endLease(long id) {
            if (mLeases.remove(id) == null) {
                return false;
            }
            for (Item item : List.copyOf(mItems.values())) {
                if (item.lease() == id) {
                    put(item.key(), null, 0, ++mRev);
                }
            }
            notifyAll();
            return true;
        }

        private void put(String key, String value, long lease, long rev) {
            Item old = mItems.get(key);
            if (value == null) {
                if (mItems.remove(key) != null) {
                    mHistory.add(new Event(rev, key, null));
                }
                return;
            }
            Item item = new Item(key, value, rev, old == null ? rev : old.created(), lease);
            mItems.put(key, item);
            mHistory.add(new Event(rev, key, item));
        }

        /** Writes a key as the operator or a sampler does. */
        synchronized void write(String key, JsonNode value) {
            put(key, Base64.getEncoder().encodeToString(value.toString().getBytes()), 0, ++mRev);
            notifyAll();
        }

        private static ObjectNode node(Item item) {
            ObjectNode node = JSON.createObjectNode();
            node.put("key", item.key()).put("value", item.value()).put("rev", item.rev());
            return node.put("created", item.created()).put("lease", item.lease());
        }

        private void handle(Exchange exchange) throws IOException {
            sleep(2);
            switch (exchange.mPath) {
                case "/kv-key" -> key(exchange);
                case "/kv-range" -> range(exchange);
                case "/kv-watch" -> watch(exchange);
                case "/kv-txn" -> txn(exchange);
                case "/kv-lease" -> {
                    long ttl = JSON.readTree(exchange.mBody).path("ttl_ms").asLong();
                    long id;
                    synchronized (this) {
                        id = ++mLastLease;
                        mLeases.put(id, new long[] {now() + ttl, ttl});
                    }
                    exchange.json(200, JSON.createObjectNode().put("lease", id).put("ttl_ms", ttl));
                }
                default -> lease(exchange);
            }
        }

        private void lease(Exchange exchange) throws IOException {
            long id = Long.parseLong(exchange.mPath.substring(exchange.mPath.lastIndexOf('/') + 1));
            boolean found;
            long ttl = 0;
            synchronized (this) {
                if (exchange.mMethod.equals("DELETE")) {
                    found = endLease(id);
                } else {
                    long[] lease = mLeases.get(id);
                    found = lease != null;
                    if (found) {
                        lease[0] = now() + lease[1];
                        ttl = lease[1];
                    }
                }
            }
            exchange.json(found ? 200 : 404, JSON.createObjectNode().put("ttl_ms", ttl));
        }

        private void key(Exchange exchange) throws IOException {
            ObjectNode answer;
            int status;
            synchronized (this) {
                Item item = mItems.get(exchange.query("key", ""));
                status = item == null ? 404 : 200;
                answer = (item == null ? JSON.createObjectNode() : node(item)).put("as_of", mRev);
            }
            exchange.json(status, answer);
        }

        private void range(Exchange exchange) throws IOException {
            String prefix = exchange.query("prefix", "");
            String after = exchange.query("after", "");
            ObjectNode answer = JSON.createObjectNode();
            ArrayNode items = answer.putArray("items");
            boolean truncated = false;
            synchronized (this) {
                long bytes = 0;
                for (Item item : mItems.tailMap(prefix).values()) {
                    if (!item.key().startsWith(prefix)) {
                        break;
                    }
                    if (item.key().compareTo(after) <= 0) {
                        continue;
                    }
                    bytes += item.value().length();
                    if (items.size() >= 500 || (items.size() > 0 && bytes > MAX_PAGE_BYTES)) {
                        truncated = true;
                        break;
                    }
                    items.add(node(item));
                }
                answer.put("truncated", truncated).put("as_of", mRev);
            }
            exchange.json(200, answer);
        }

        private void watch(Exchange exchange) throws IOException {
            String prefix = exchange.query("prefix", "");
            long after = Long.parseLong(exchange.query("after", "0"));
            long until = now() + Long.parseLong(exchange.query("wait_ms", "0"));
            ObjectNode answer = JSON.createObjectNode();
            ArrayNode events = answer.putArray("events");
            synchronized (this) {
                while (true) {
                    for (int i = mHistory.size() - 1; i >= 0; i--) {
                        Event event = mHistory.get(i);
                        if (event.rev() <= after) {
                            break;
                        }
                        if (event.key().startsWith(prefix)) {
                            events.insert(
                                    0,
                                    event.item() != null
                                            ? node(event.item())
                                            : JSON.createObjectNode()
                                                    .put("key", event.key())
                                                    .put("rev", event.rev())
                                                    .put("deleted", true));
                        }
                    }
                    long left = until - now();
                    if (events.size() > 0 || left <= 0) {
                        break;
                    }
                    try {
                        wait(left);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                answer.put("as_of", mRev);
            }
            exchange.json(200, answer);
        }

        private void txn(Exchange exchange) throws IOException {
            JsonNode body = JSON.readTree(exchange.mBody);
            ObjectNode answer = JSON.createObjectNode();
            int status = 200;
            synchronized (this) {
                for (JsonNode row : body.path("expect")) {
                    Item item = mItems.get(row.path("key").asText());
                    if ((item == null ? 0 : item.rev()) != row.path("rev").asLong()) {
                        status = 412;
                    }
                }
                if (status == 412) {
                    ArrayNode items = answer.putArray("items");
                    for (JsonNode row : body.path("expect")) {
                        Item item = mItems.get(row.path("key").asText());
                        if (item != null) {
                            items.add(node(item));
                        }
                    }
                } else {
                    for (JsonNode row : body.path("writes")) {
                        long lease = row.path("lease").asLong();
                        if (lease != 0 && !mLeases.containsKey(lease)) {
                            status = 404;
                        }
                    }
                    if (status == 200) {
                        long rev = ++mRev;
                        for (JsonNode row : body.path("writes")) {
                            put(
                                    row.path("key").asText(),
                                    row.path("value").asText(),
                                    row.path("lease").asLong(),
                                    rev);
                        }
                        for (JsonNode key : body.path("remove")) {
                            put(key.asText(), null, 0, rev);
                        }
                        answer.put("rev", rev);
                        notifyAll();
                    }
                }
            }
            exchange.json(status, answer);
        }
    }

    // ---- samplers ---------------------------------------------------------------------------

    /** What an item's text is: how many events, how long each is, and the pause before each. */
    interface Plan {
        int events(String id);

        int bytes(String id);

        long pauseMillis(String id, int event);
    }

    /** What a case learns of the runs and orders at model samplers. */
    interface Watcher {
        default void onRun(String sampler, String id, int after, int version) {}

        default void onRunEnd(String sampler, String id, boolean complete) {}

        default void onOrder(String sampler, String holder, int version, int status) {}

        default void onVersion(String sampler, int version) {}
    }

    /** Writes the runs to the record. */
    static final Watcher RECORDER =
            new Watcher() {
                @Override
                public void onRun(String sampler, String id, int after, int version) {
                    log("run " + id + " at " + sampler + " after event " + after);
                }

                @Override
                public void onRunEnd(String sampler, String id, boolean complete) {
                    log("run of " + id + " at " + sampler + (complete ? " is complete" : " broke off"));
                }
            };

    /** A model sampler. It loads a version after its runs have finished, which is the mode wait. */
    static final class Engine {
        private static final int SLOTS = 8;
        private static final long LOAD_MS = 900;

        final String mId;
        final int mPort;
        private final Store mStore;
        private final String mService;
        private final String mModel;
        private final Plan mPlan;
        private final Watcher mWatcher;
        private int mRunning;
        private int mVersion = 1;
        private int mSeq;
        private boolean mBusy;
        private long mFence;

        Engine(Store store, String id, String service, String model, Plan plan)
                throws IOException {
            this(store, id, service, model, plan, RECORDER);
        }

        Engine(Store store, String id, String service, String model, Plan plan, Watcher watcher)
                throws IOException {
            mStore = store;
            mId = id;
            mService = service;
            mModel = model;
            mPlan = plan;
            mWatcher = watcher;
            mPort = serve(this::handle);
            register();
        }

        synchronized int running() {
            return mRunning;
        }

        private synchronized ObjectNode state() {
            ObjectNode node = JSON.createObjectNode().put("stage", "both");
            node.putArray("models")
                    .addObject()
                    .put("name", mModel)
                    .put("version", mVersion)
                    .putArray("adapters");
            return node.put("seq", mSeq);
        }

        private void register() {
            ObjectNode node = state();
            node.put("service", mService).put("addr", "127.0.0.1:" + mPort).put("zone", "hall-a");
            node.put("version", "v1").put("slots", SLOTS).put("state", "ready");
            mStore.write("servers/" + mId, node.put("cold_left_ms", 0));
        }

        private void handle(Exchange exchange) throws IOException {
            if (exchange.mPath.equals("/report")) {
                ObjectNode report = state();
                synchronized (this) {
                    report.put("busy", mBusy).put("waiting", 0).put("running", mRunning);
                }
                exchange.json(200, report);
                return;
            }
            String expected = exchange.header("X-Expect-Instance");
            if (expected != null && !expected.equals(mId)) {
                exchange.respond(421, Map.of("X-Instance-Id", mId, "X-Not-Run", "1"), new byte[0]);
            } else if (exchange.mPath.equals("/order")) {
                order(exchange);
            } else {
                run(exchange);
            }
        }

        private void order(Exchange exchange) throws IOException {
            JsonNode order = JSON.readTree(exchange.mBody);
            int version = order.path("version").asInt();
            int status;
            synchronized (this) {
                boolean stale = order.has("expect") && order.path("expect").asInt() != mSeq;
                if (order.path("fence").asLong() < mFence) {
                    status = 412;
                } else if (mBusy || stale) {
                    status = 409;
                } else if (version <= mVersion) {
                    status = 200;
                } else {
                    status = 202;
                    mBusy = true;
                    mSeq++;
                }
                mFence = Math.max(mFence, order.path("fence").asLong());
            }
            mWatcher.onOrder(mId, order.path("holder").asText(), version, status);
            exchange.respond(status, Map.of("X-Instance-Id", mId), new byte[0]);
            if (status == 202) {
                spawn(() -> load(version));
            }
        }

        private void load(int version) {
            while (running() > 0) {
                sleep(5);
            }
            sleep(LOAD_MS);
            synchronized (this) {
                mVersion = version;
                mBusy = false;
            }
            mWatcher.onVersion(mId, version);
            register();
        }

        private void run(Exchange exchange) throws IOException {
            String id = exchange.header("X-Request-Id");
            String expected = exchange.header("X-Expect-Version");
            int version;
            synchronized (this) {
                version = mVersion;
                boolean wrong = expected != null && Integer.parseInt(expected) != version;
                if (wrong || mBusy || mRunning >= SLOTS) {
                    version = wrong ? -1 : 0;
                } else {
                    mRunning++;
                }
            }
            if (version <= 0) {
                exchange.respond(
                        version < 0 ? 421 : 503,
                        Map.of("X-Request-Id", id, "X-Not-Run", "1", "X-Instance-Id", mId),
                        new byte[0]);
                return;
            }
            boolean complete = false;
            try {
                String last = exchange.header("Last-Event-Id");
                int after = last == null ? 0 : Integer.parseInt(last);
                mWatcher.onRun(mId, id, after, version);
                exchange.begin(
                        200,
                        Map.of(
                                "X-Request-Id", id,
                                "X-Server-Stamp", "st-" + mId + "-" + id,
                                "X-Weight-Versions", "" + version,
                                "X-Instance-Id", mId,
                                "Content-Type", "text/event-stream"));
                for (int i = after + 1; i <= mPlan.events(id); i++) {
                    sleep(mPlan.pauseMillis(id, i));
                    String data = data(id, i, mPlan.bytes(id));
                    exchange.chunk(("id: " + i + "\ndata: " + data + "\n\n").getBytes());
                }
                exchange.end();
                complete = true;
            } finally {
                synchronized (this) {
                    mRunning--;
                }
                mWatcher.onRunEnd(mId, id, complete);
            }
        }
    }

    /** The data of an event. */
    static String data(String id, int event, int bytes) {
        StringBuilder text = new StringBuilder(id + "." + event + ".");
        while (text.length() < bytes) {
            text.append("abcdefghijklmnopqrstuvwxyz0123456789", 0, Math.min(36, bytes - text.length()));
        }
        return text.toString();
    }

    /** Registers a plain sampler, which a handler serves after the instance was checked. */
    static String plainSampler(Store store, String id, String service, Handler handler)
            throws IOException {
        int port =
                serve(
                        exchange -> {
                            String expected = exchange.header("X-Expect-Instance");
                            if (expected != null && !expected.equals(id)) {
                                exchange.respond(
                                        421,
                                        Map.of("X-Instance-Id", id, "X-Not-Run", "1"),
                                        new byte[0]);
                            } else {
                                handler.handle(exchange);
                            }
                        });
        ObjectNode node = JSON.createObjectNode().put("service", service);
        node.put("addr", "127.0.0.1:" + port).put("zone", "hall-a").put("version", "v1");
        node.put("slots", 6).put("state", "ready").put("cold_left_ms", 0).put("seq", 0);
        store.write("servers/" + id, node);
        return id;
    }

    // ---- processes of the project -----------------------------------------------------------

    /** An entry: a process of the project. */
    static final class Entry {
        final String mName;
        final int mFront;
        final int mReady;
        private final Path mDir;
        private final int mMetrics;
        private final int mStorePort;
        volatile Process mProcess;
        int mStarts;

        Entry(String name, Path dir, int storePort) throws IOException {
            mName = name;
            mDir = dir;
            mStorePort = storePort;
            mFront = freePort();
            mReady = freePort();
            mMetrics = freePort();
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            Path settings = mDir.resolve(mName + ".yaml");
            Files.writeString(
                    settings,
                    "role: hosted-entry\nvm: " + mName + "\nfailure_domain: hall-a\n"
                            + "listen: {front: \"127.0.0.1:" + mFront + "\", ready: \"127.0.0.1:"
                            + mReady + "\", metrics: \"127.0.0.1:" + mMetrics + "\"}\n"
                            + "store: \"127.0.0.1:" + mStorePort + "\"\n"
                            + "first_start: " + (mStarts == 0) + "\n"
                            + "limits: {order_quiet: 500ms, grace: 8s, keep_results: 120s,"
                            + " config_within: 2000ms, leaving_within: 2000ms,"
                            + " contact_within: 3000ms, descriptors: 4100, store_writes: 400}\n");
            Matcher run =
                    Pattern.compile("\\[roles\\.entry\\]\\s+run = \"([^\"]*)\"")
                            .matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("no command of the entry in the deploy file");
            }
            List<String> words = new ArrayList<>();
            for (String word : run.group(1).split(" ")) {
                words.add(word.equals("/etc/ebonyrun/local.toml") ? settings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(words);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("EBONYRUN_BOOT", settings.toString());
            File out = mDir.resolve(mName + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(out));
            mProcess = builder.start();
            mStarts++;
            PROCESSES.add(mProcess);
            log("start " + mName);
        }

        boolean isReady() {
            return call(mReady, "GET", "/readyz", Map.of(), new byte[0], 500).status() == 200;
        }

        void awaitReady(long millis) {
            long until = now() + millis;
            while (!isReady()) {
                if (now() > until) {
                    exit(2, mName + " is not ready");
                }
                sleep(100);
            }
            log("ready " + mName);
        }
    }

    static ObjectNode config(int version) {
        ObjectNode config = JSON.createObjectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        routes.addObject().put("name", "rollout").put("host", HOST).put("prefix", "/roll/")
                .put("type", "rollout").put("timeout_ms", 10000).put("latency_goal_ms", 500)
                .put("priority", 1).put("service", "models").put("max_attempts", 3)
                .put("due_ms", 7500).put("max_wait_s", 40);
        routes.addObject().put("name", "reward").put("host", HOST).put("prefix", "/reward/")
                .put("type", "safe").put("timeout_ms", 3000).put("latency_goal_ms", 800)
                .put("priority", 2).put("service", "plain").put("max_attempts", 4);
        ArrayNode services = config.putArray("services");
        ObjectNode engine = services.addObject().put("name", "models")
                .put("health_path", "/healthz").put("max_conns", 150).put("protocol", "h1")
                .put("tls", false);
        engine.putObject("engine").put("slots", 8).put("kv_capacity", 38690)
                .putArray("models").addObject().put("name", "m0");
        services.addObject().put("name", "plain").put("health_path", "/healthz")
                .put("max_conns", 110).put("protocol", "h1").put("tls", false);
        config.putObject("limits").put("max_header_bytes", 16384)
                .put("max_body_bytes", 33554432).put("header_timeout_ms", 3000)
                .put("idle_timeout_ms", 15000);
        return config;
    }

    /** Returns the submission of a batch job. */
    static byte[] job(String id, int step, int groups, int size, int wanted) {
        return job(id, step, 1, groups, size, wanted);
    }

    static byte[] job(String id, int step, int minVersion, int groups, int size, int wanted) {
        ObjectNode job = JSON.createObjectNode().put("step", step).put("model", "m0");
        job.put("min_version", minVersion).put("group_count", wanted);
        ArrayNode items = job.putArray("items");
        for (int g = 0; g < groups; g++) {
            for (int i = 0; i < size; i++) {
                String item = id + "-" + g + "-" + i;
                ObjectNode node = items.addObject().put("id", item).put("path", "/roll/" + item);
                node.putObject("headers").put("X-Model", "m0").put("X-Token-Count", "271,4624")
                        .put("X-Prefix-Hash", "9c2e" + g + ":255,5d07" + g + "" + i + ":16");
                node.put("body", "q83vEjRWeJA=").put("tokens", 4895).put("group", id + "-" + g);
                node.putObject("scorer").put("id", "rw-" + item).put("host", HOST)
                        .put("path", "/reward/" + item).put("body", "3q2+7w==");
            }
        }
        return job.toString().getBytes(StandardCharsets.UTF_8);
    }

    static final Map<String, Integer> RUNS = new ConcurrentHashMap<>();
}
