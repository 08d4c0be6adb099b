package org.ebonyrun.base.log;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.ebonyrun.base.time.Nanos;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes log lines from a bounded ring on a thread of its own.
 *
 * <p>Thread safe and never blocking: a line that finds the ring full is counted, and the count is
 * written with the next lines.
 */
public final class EventLog implements AutoCloseable {
    private static final int RING = 8_192;
    private static final long WRITE_NANOS = Nanos.ofMillis(250);
    private static final int BUFFER_CHARS = 16 * 1024;

    private final MpscArrayQueue<String> mRing = new MpscArrayQueue<>(RING);
    private final AtomicLong mDropped = new AtomicLong();
    private final PrintStream mOut;
    private final Thread mThread;
    private volatile boolean mClosed;

    private EventLog(OutputStream out) {
        mOut = new PrintStream(out, false, StandardCharsets.UTF_8);
        mThread = new Thread(this::run, "log");
        mThread.setDaemon(true);
    }

    /** Starts a log that writes to a stream. */
    public static EventLog start(OutputStream out) {
        EventLog log = new EventLog(out);
        log.mThread.start();
        return log;
    }

    /** Writes a line, or counts it as dropped. */
    public void write(LogLine line) {
        if (!mRing.offer(line.text())) {
            mDropped.incrementAndGet();
        }
    }

    /** Returns how many lines were dropped since the start. */
    public long dropped() {
        return mDropped.get();
    }

    /** Writes what is waiting and stops. */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
        try {
            mThread.join(Nanos.toMillis(WRITE_NANOS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long reported = 0;
        while (!mClosed) {
            LockSupport.parkNanos(WRITE_NANOS);
            long dropped = mDropped.get();
            if (dropped > reported) {
                mRing.offer(LogLine.of("log.dropped").with("lines", dropped).text());
                reported = dropped;
            }
            flush();
        }
        flush();
    }

    private void flush() {
        StringBuilder batch = new StringBuilder();
        for (String line = mRing.poll(); line != null; line = mRing.poll()) {
            batch.append(line);
            if (batch.length() > BUFFER_CHARS) {
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
