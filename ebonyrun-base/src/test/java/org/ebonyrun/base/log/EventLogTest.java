package org.ebonyrun.base.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTest {
    @Test
    void formatsALineAsOneJsonObjectAndEscapesItsValues() {
        LogLine line =
                LogLine.of("call.sent")
                        .with("request", "a\"b\\c\nd")
                        .with("left_ms", 5)
                        .with("ready", true);

        assertThat(
                line.text(),
                endsWith(
                        ",\"event\":\"call.sent\",\"request\":\"a\\\"b\\\\c d\",\"left_ms\":5,"
                                + "\"ready\":true}\n"));
    }

    @Test
    void closeWritesQueuedLines() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = EventLog.start(out);
        log.write(LogLine.of("stop"));
        log.close();

        assertThat(out.toString(StandardCharsets.UTF_8).contains("\"event\":\"stop\""), is(true));
    }

    @Test
    void reportsDroppedLinesEvenIfTheRingStaysFull() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log =
                EventLog.start(
                        new OutputStream() {
                            @Override
                            public synchronized void write(int b) {
                                blocked.countDown();
                                try {
                                    unblock.await();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                out.write(b);
                            }
                        });
        log.write(LogLine.of("first"));
        blocked.await();
        for (int i = 0; i < 20_000; i++) {
            log.write(LogLine.of("flood"));
        }
        long dropped = log.dropped();
        unblock.countDown();
        log.close();

        assertThat(dropped, greaterThan(0L));
        assertThat(
                out.toString(StandardCharsets.UTF_8).contains("\"lines\":" + dropped + "}"),
                is(true));
    }

    @Test
    void doesNotBlockCallersOnABlockedStreamAndCountsDroppedLines() {
        CountDownLatch unblock = new CountDownLatch(1);
        EventLog log =
                EventLog.start(
                        new OutputStream() {
                            @Override
                            public void write(int b) {
                                try {
                                    unblock.await();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            }
                        });
        for (int i = 0; i < 100_000; i++) {
            log.write(LogLine.of("flood"));
        }

        assertThat(log.dropped(), greaterThan(0L));
        unblock.countDown();
        log.close();
    }
}
