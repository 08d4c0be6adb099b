import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a sampler: a model engine that answers with a stream of events, or a plain service.
 * It runs some requests at once, queues 24 more and rejects others with 503 and X-Not-Run.
 */
final class Sampler {
    private static final AtomicLong STAMPS = new AtomicLong();
    private static final int QUEUE = 24;

    final String mId;
    final String mService;
    private final boolean mEngine;
    private final int mSlots;
    private final int mEvents;
    private final int mMillis;
    private final Store mStore;
    private final Record mRecord;
    private final Semaphore mFree;
    private final AtomicInteger mQueued = new AtomicInteger();
    private final Http.Server mServer;
    private long mSeq;

    /** The number of requests at work. */
    final AtomicInteger mRunning = new AtomicInteger();

    /**
     * Starts and registers a sampler.
     *
     * @param events the number of events of a stream; zero for a plain service
     * @param millis the time of an event, or of a plain answer
     */
    Sampler(Store store, Record record, String id, String service, int slots, int events, int millis)
            throws IOException {
        mStore = store;
        mRecord = record;
        mId = id;
        mService = service;
        mEngine = events > 0;
        mSlots = slots;
        mEvents = events;
        mMillis = millis;
        mFree = new Semaphore(slots, true);
        mServer = new Http.Server(this::handle);
        Http.thread("beat-" + id, this::beat);
    }

    private void beat() {
        try {
            while (true) {
                mStore.put(
                        "servers/" + mId,
                        "{\"service\":\""
                                + mService
                                + "\",\"addr\":\"127.0.0.1:"
                                + mServer.mPort
                                + "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":"
                                + mSlots
                                + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":"
                                + ++mSeq
                                + (mEngine
                                        ? ",\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                                                + "\"version\":1,\"adapters\":[]}]"
                                        : "")
                                + "}");
                Thread.sleep(1_200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket)
            throws Exception {
        if (request.path().equals("/report")) {
            Http.respond(
                    out,
                    200,
                    "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
                            + "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"waiting\":0,"
                            + "\"running\":0,\"kv_used\":0,\"kv_total\":38690,\"handles\":0}",
                    "Content-Type",
                    "application/json");
            return true;
        }
        if (request.path().equals("/healthz")) {
            Http.respond(out, 200, "", "X-Instance-Id", mId);
            return true;
        }
        String id = request.header("X-Request-Id");
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            Http.respond(out, 421, "", "X-Request-Id", id, "X-Instance-Id", mId);
            return true;
        }
        mRecord.arrived(this, id, request);
        if (mQueued.incrementAndGet() > QUEUE + mSlots) {
            mQueued.decrementAndGet();
            Http.respond(out, 503, "", "X-Request-Id", id, "X-Not-Run", "1");
            return true;
        }
        mFree.acquire();
        mRunning.incrementAndGet();
        try {
            String stamp = "3e1b.07." + Long.toHexString(STAMPS.incrementAndGet()) + ".600.0.c9f2";
            mRecord.runs(this, id, request, stamp);
            if (mEngine) {
                stream(request, id, stamp, out);
            } else {
                Thread.sleep(mMillis);
                Http.respond(
                        out,
                        200,
                        new byte[800],
                        "X-Request-Id",
                        id,
                        "X-Server-Stamp",
                        stamp);
            }
            mRecord.ended(this, id);
            return true;
        } finally {
            mRunning.decrementAndGet();
            mQueued.decrementAndGet();
            mFree.release();
        }
    }

    private void stream(Http.Message request, String id, String stamp, OutputStream out)
            throws Exception {
        String head =
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Server-Stamp: "
                        + stamp
                        + "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        String last = request.header("Last-Event-Id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        for (int n = from; n <= mEvents; n++) {
            TimeUnit.MILLISECONDS.sleep(mMillis);
            String event = "id: " + n + "\ndata: " + id + "-" + n + "\n\n";
            out.write(
                    (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
