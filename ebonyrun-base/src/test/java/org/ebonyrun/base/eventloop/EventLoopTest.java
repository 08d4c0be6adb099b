package org.ebonyrun.base.eventloop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.time.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class EventLoopTest {
    private static final long TICK_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Records events, and waits at the event {@code block}. */
    private static final class Recorder implements EventHandler<String> {
        private final List<String> mSeen = new CopyOnWriteArrayList<>();
        private final CountDownLatch mBlocked = new CountDownLatch(1);
        private final CountDownLatch mRelease = new CountDownLatch(1);

        @Override
        public void onEvent(String event, long now) {
            if (event.equals("block")) {
                mBlocked.countDown();
                await(mRelease);
            }
            if (event.equals("throw")) {
                throw new IllegalStateException("as the test wants");
            }
            mSeen.add(event);
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
    void handlesEventsInOrderAndSurvivesAFailure() {
        Recorder recorder = new Recorder();
        try (EventLoop<String> duty =
                EventLoop.start("test", 8, recorder, MonotonicClock.system(), TICK_NANOS)) {
            duty.post("a");
            duty.post("throw");
            duty.post("b");
            assertThat(duty.query(() -> "answer").join(), is("answer"));
            assertThat(recorder.mSeen, contains("a", "b"));
        }
    }

    @Test
    void refusesWhenTheRingIsFull() throws InterruptedException {
        Recorder recorder = new Recorder();
        try (EventLoop<String> duty =
                EventLoop.start("test", 2, recorder, MonotonicClock.system(), TICK_NANOS)) {
            duty.post("block");
            recorder.mBlocked.await();
            assertThat(duty.offer("1"), is(true));
            assertThat(duty.offer("2"), is(true));
            assertThat(duty.offer("3"), is(false));
            assertThat(duty.refused(), is(1L));
            recorder.mRelease.countDown();
            duty.post("4");
            duty.query(() -> true).join();
            assertThat(recorder.mSeen, contains("block", "1", "2", "4"));
        }
    }
}
