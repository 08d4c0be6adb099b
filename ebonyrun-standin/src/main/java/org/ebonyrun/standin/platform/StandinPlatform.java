package org.ebonyrun.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.ports.http.BodyReader;
import org.ebonyrun.ports.http.HttpServerSettings;
import org.ebonyrun.ports.http.HttpServers;
import org.ebonyrun.ports.http.Responder;
import org.ebonyrun.ports.kv.KeyValueEntry;
import org.ebonyrun.ports.kv.WriteOutcome;
import org.ebonyrun.ports.vm.VmRecord;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in of the platform of a deployment with entry and agent daemons: serves the key-value
 * service, the VM list and the weight store on one HTTP port, and injects faults on request.
 *
 * <p>The class of the same name in the module {@code platform} is a stand-in of another interface,
 * the shared store.
 *
 * <p>Thread safe.
 */
public final class StandinPlatform implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String JSON_TYPE = "application/json";
    private static final int MAX_VALUE_BYTES = 2 << 20;
    private static final int WORKERS = 4;
    private static final int WEIGHT_FETCHES_PER_SECOND = 4;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final KeyValueTable mTable = new KeyValueTable();
    private final List<Watch> mWatches = new CopyOnWriteArrayList<>();
    private final Map<VmId, VmRecord> mVms = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> mLatestVersions = new ConcurrentHashMap<>();
    private final AtomicInteger mFetchesThisSecond = new AtomicInteger();
    private final AtomicLong mCallCount = new AtomicLong();
    private final AtomicInteger mResponsesToDrop = new AtomicInteger();
    private final ScheduledExecutorService mTimer;
    private final HttpServer mServer;
    private volatile boolean mDown;

    private StandinPlatform(String host, int port) throws IOException {
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "platform-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mTimer.scheduleAtFixedRate(() -> mFetchesThisSecond.set(0), 1, 1, TimeUnit.SECONDS);
        mServer =
                HttpServers.start(
                        new HttpServerSettings("platform", host, port, WORKERS),
                        Map.of(
                                "/kv", handler(this::onList),
                                "/kv/*", handler(this::onKey),
                                "/vms", handler(this::onVms),
                                "/weights/*", handler(this::onWeights)));
    }

    /** A pending watch request, which waits for a revision newer than {@code after}. */
    private record Watch(String key, long after, Responder out) {}

    /** Handles one request. */
    @FunctionalInterface
    private interface RequestHandler {
        void run(Request request, Responder out) throws IOException;
    }

    /** Starts a platform that listens on the given address; port zero lets the system choose. */
    public static StandinPlatform start(String host, int port) throws IOException {
        return new StandinPlatform(host, port);
    }

    /** Returns the base address of all services. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + HttpServers.port(mServer));
    }

    /** Adds or replaces a VM in the list. */
    public void putVm(VmRecord record) {
        mVms.put(record.vm(), record);
    }

    /** Removes a VM from the list. */
    public void removeVm(VmId vm) {
        mVms.remove(vm);
    }

    /** Sets whether the key-value service refuses every call with status 503. */
    public void setDown(boolean down) {
        mDown = down;
    }

    /** Drops the responses to the next writes to the key-value service; the writes take effect. */
    public void dropResponses(int count) {
        mResponsesToDrop.set(count);
    }

    /** Publishes a version of a service's weights. */
    public void publish(String service, long version) {
        mLatestVersions
                .computeIfAbsent(service, key -> new AtomicLong())
                .accumulateAndGet(version, Math::max);
    }

    /** Returns the number of calls that the key-value service has received. */
    public long callCount() {
        return mCallCount.get();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.shutdownNow();
    }

    private HttpHandler handler(RequestHandler action) {
        return new HttpHandler() {
            @Override
            public void service(Request request, Response response) throws IOException {
                action.run(request, Responder.suspend(response));
            }
        };
    }

    private boolean refuseIfDown(Responder out) {
        mCallCount.incrementAndGet();
        if (mDown) {
            out.sendComplete(503, "text/plain", new byte[0]);
        }
        return mDown;
    }

    private void onList(Request request, Responder out) throws IOException {
        if (refuseIfDown(out)) {
            return;
        }
        ObjectNode body = JSON.createObjectNode();
        var entries = body.putArray("entries");
        mTable.list(String.valueOf(request.getParameter("prefix")), nowMillis())
                .forEach(entry -> entries.add(toJson(entry)));
        out.sendComplete(200, JSON_TYPE, JSON.writeValueAsBytes(body));
    }

    private void onKey(Request request, Responder out) throws IOException {
        if (refuseIfDown(out)) {
            return;
        }
        String raw = request.getRequestURI().substring("/kv/".length());
        String key = URLDecoder.decode(raw, StandardCharsets.UTF_8);
        switch (request.getMethod().getMethodString()) {
            case "GET" -> onGet(request, key, out);
            case "PUT" ->
                    BodyReader.read(
                            request,
                            MAX_VALUE_BYTES,
                            result -> result.map(body -> put(request, key, body, out)));
            case "POST" ->
                    sendOutcome(
                            mTable.renew(key, revision(request), ttlMillis(request), nowMillis()),
                            out);
            case "DELETE" -> {
                WriteOutcome outcome = mTable.delete(key, revision(request), nowMillis());
                notifyWatches(key);
                sendOutcome(outcome, out);
            }
            default -> out.sendComplete(405, "text/plain", new byte[0]);
        }
    }

    private void onGet(Request request, String key, Responder out) {
        String after = request.getParameter("after");
        KeyValueEntry entry = mTable.get(key, nowMillis());
        if (after == null || (entry != null && entry.revision() > Long.parseLong(after))) {
            sendEntry(entry, out);
            return;
        }
        Watch watch = new Watch(key, Long.parseLong(after), out);
        mWatches.add(watch);
        long wait = Long.parseLong(request.getParameter("wait_ms"));
        mTimer.schedule(() -> endWatch(watch), wait, TimeUnit.MILLISECONDS);
    }

    private boolean put(Request request, String key, byte[] body, Responder out) {
        byte[] value;
        try {
            JsonNode tree = JSON.readTree(body);
            value = Base64.getDecoder().decode(tree.get("value").asText());
        } catch (IOException e) {
            out.sendComplete(400, "text/plain", new byte[0]);
            return false;
        }
        WriteOutcome outcome =
                mTable.put(key, value, revision(request), ttlMillis(request), nowMillis());
        if (outcome.applied()) {
            notifyWatches(key);
        }
        sendOutcome(outcome, out);
        return true;
    }

    private void sendOutcome(WriteOutcome outcome, Responder out) {
        if (mResponsesToDrop.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            out.abort();
            return;
        }
        byte[] body =
                ("{\"revision\":" + outcome.revision() + "}").getBytes(StandardCharsets.UTF_8);
        out.sendComplete(outcome.applied() ? 200 : 409, JSON_TYPE, body);
    }

    private void notifyWatches(String key) {
        KeyValueEntry entry = mTable.get(key, nowMillis());
        for (Watch watch : mWatches) {
            boolean newer = entry != null && entry.revision() > watch.after();
            if (watch.key().equals(key) && newer && mWatches.remove(watch)) {
                sendEntry(entry, watch.out());
            }
        }
    }

    private void endWatch(Watch watch) {
        if (mWatches.remove(watch)) {
            sendEntry(mTable.get(watch.key(), nowMillis()), watch.out());
        }
    }

    private static void sendEntry(@Nullable KeyValueEntry entry, Responder out) {
        if (entry == null) {
            out.sendComplete(404, JSON_TYPE, "{}".getBytes(StandardCharsets.UTF_8));
        } else {
            out.sendComplete(
                    200, JSON_TYPE, toJson(entry).toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static ObjectNode toJson(KeyValueEntry entry) {
        return JSON.createObjectNode()
                .put("key", entry.key())
                .put("value", Base64.getEncoder().encodeToString(entry.value()))
                .put("revision", entry.revision());
    }

    private void onVms(Request request, Responder out) throws IOException {
        out.sendComplete(200, JSON_TYPE, JSON.writeValueAsBytes(new ArrayList<>(mVms.values())));
    }

    private void onWeights(Request request, Responder out) {
        String[] parts = request.getRequestURI().substring("/weights/".length()).split("/");
        AtomicLong latest = mLatestVersions.computeIfAbsent(parts[0], key -> new AtomicLong());
        if (parts[1].equals("latest")) {
            out.sendComplete(200, "text/plain", latest.toString().getBytes(StandardCharsets.UTF_8));
        } else if (request.getMethod().getMethodString().equals("PUT")) {
            publish(parts[0], Long.parseLong(parts[1]));
            out.sendComplete(200, "text/plain", new byte[0]);
        } else if (mFetchesThisSecond.incrementAndGet() > WEIGHT_FETCHES_PER_SECOND) {
            out.sendComplete(429, "text/plain", new byte[0]);
        } else if (Long.parseLong(parts[1]) > latest.get()) {
            out.sendComplete(404, "text/plain", new byte[0]);
        } else {
            out.sendComplete(200, "application/octet-stream", new byte[0]);
        }
    }

    private static long revision(Request request) {
        return Long.parseLong(request.getParameter("revision"));
    }

    private static long ttlMillis(Request request) {
        return Long.parseLong(request.getParameter("ttl_ms"));
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
