package org.ebonyrun.base.eventloop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.time.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class EventLoopTest {
    private static final long TICK_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Records events; the event {@code block} blocks and the event {@code throw} throws. */
    private static final class Recorder implements EventHandler<String> {
        private final List<String> mEvents = new CopyOnWriteArrayList<>();
        private final CountDownLatch mBlocked = new CountDownLatch(1);
        private final CountDownLatch mRelease = new CountDownLatch(1);

        @Override
        public void onEvent(String event, long now) {
            if (event.equals("block")) {
                mBlocked.countDown();
                await(mRelease);
            }
            if (event.equals("throw")) {
                throw new IllegalStateException("thrown by the test");
            }
            mEvents.add(event);
        }

        private static void await(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Test
    void handlesEventsInOrderAndContinuesAfterAnException() {
        Recorder recorder = new Recorder();
        try (EventLoop<String> eventLoop =
                EventLoop.start("test", 8, recorder, MonotonicClock.system(), TICK_NANOS)) {
            eventLoop.post("a");
            eventLoop.post("throw");
            eventLoop.post("b");
            assertThat(eventLoop.query(() -> "answer").join(), is("answer"));
            assertThat(recorder.mEvents, contains("a", "b"));
        }
    }

    @Test
    void anExceptionOfACallbackReachesTheErrorListener() throws Exception {
        BlockingQueue<String> errors = new LinkedBlockingQueue<>();
        try (EventLoop<Runnable> eventLoop =
                EventLoop.create(
                        "test",
                        8,
                        (task, now) -> task.run(),
                        MonotonicClock.system(),
                        TICK_NANOS,
                        (what, e) -> errors.add(e.getMessage()))) {
            eventLoop.launch();
            CompletableFuture<String> future = new CompletableFuture<>();
            future.thenAcceptAsync(
                    EventLoopCallbacks.rethrowing(
                            eventLoop::post,
                            value -> {
                                throw new IllegalStateException("cannot use " + value);
                            }),
                    eventLoop::post);
            future.complete("it");

            assertThat(errors.take(), is("cannot use it"));
            assertThat(eventLoop.query(() -> "answer").join(), is("answer"));
        }
    }

    @Test
    void refusesEventsWhileTheRingIsFull() throws InterruptedException {
        Recorder recorder = new Recorder();
        try (EventLoop<String> eventLoop =
                EventLoop.start("test", 2, recorder, MonotonicClock.system(), TICK_NANOS)) {
            eventLoop.post("block");
            recorder.mBlocked.await();
            assertThat(eventLoop.offer("1"), is(true));
            assertThat(eventLoop.offer("2"), is(true));
            assertThat(eventLoop.offer("3"), is(false));
            assertThat(eventLoop.refused(), is(1L));
            recorder.mRelease.countDown();
            eventLoop.post("4");
            eventLoop.query(() -> true).join();
            assertThat(recorder.mEvents, contains("block", "1", "2", "4"));
        }
    }
}
