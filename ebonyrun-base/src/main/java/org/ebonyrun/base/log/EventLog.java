package org.ebonyrun.base.log;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.ebonyrun.base.time.Nanos;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes log lines to a stream on a dedicated thread, which takes them from a bounded ring.
 *
 * <p>Thread safe; callers never block. A line that does not fit into the ring is dropped and
 * counted, and a later {@code log.dropped} line reports the count.
 */
public final class EventLog implements AutoCloseable {
    private static final int RING_CAPACITY = 8_192;
    private static final long FLUSH_INTERVAL_NANOS = Nanos.ofMillis(250);
    private static final int MAX_BATCH_CHARS = 16 * 1024;

    private final MpscArrayQueue<String> mRing = new MpscArrayQueue<>(RING_CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private final PrintStream mOut;
    private final Thread mThread;
    private volatile boolean mClosed;

    private EventLog(OutputStream out) {
        mOut = new PrintStream(out, false, StandardCharsets.UTF_8);
        mThread = new Thread(this::run, "log");
        mThread.setDaemon(true);
    }

    /** Starts a log that writes to the given stream. */
    public static EventLog start(OutputStream out) {
        EventLog log = new EventLog(out);
        log.mThread.start();
        return log;
    }

    /** Enqueues a line; drops and counts it if the ring is full. */
    public void write(LogLine line) {
        if (!mRing.offer(line.text())) {
            mDropped.incrementAndGet();
        }
    }

    /** Returns the number of lines dropped since the start. */
    public long dropped() {
        return mDropped.get();
    }

    /** Writes the queued lines and stops the thread; waits at most one flush interval for it. */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
        try {
            mThread.join(Nanos.toMillis(FLUSH_INTERVAL_NANOS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long reportedDrops = 0;
        while (!mClosed) {
            LockSupport.parkNanos(FLUSH_INTERVAL_NANOS);
            flush();
            reportedDrops = reportDrops(reportedDrops);
        }
        flush();
        reportDrops(reportedDrops);
        mOut.flush();
    }

    /** Reports lines that were dropped since the last report; the ring may still be full. */
    private long reportDrops(long reported) {
        long dropped = mDropped.get();
        if (dropped > reported) {
            mOut.print(LogLine.of("log.dropped").with("lines", dropped).text());
            mOut.flush();
        }
        return dropped;
    }

    private void flush() {
        StringBuilder batch = new StringBuilder();
        for (String line = mRing.poll(); line != null; line = mRing.poll()) {
            batch.append(line);
            if (batch.length() > MAX_BATCH_CHARS) {
                mOut.print(batch);
                batch.setLength(0);
            }
        }
        if (batch.length() > 0) {
            mOut.print(batch);
            mOut.flush();
        }
    }
}
