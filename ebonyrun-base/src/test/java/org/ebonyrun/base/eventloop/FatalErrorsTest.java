package org.ebonyrun.base.eventloop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.time.MonotonicClock;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs processes in which one thread meets an error that nobody expected. */
@Timeout(60)
class FatalErrorsTest {
    /** Where the error is thrown. */
    enum Place {
        EVENT,
        TICK,
        QUERY,
        CALLBACK,
        PLAIN_THREAD,
        REPORTED
    }

    /** The process: throws an error in the place that its argument names, and waits. */
    static final class Program {
        private Program() {}

        /** Runs the process. */
        public static void main(String[] args) throws InterruptedException {
            FatalErrors.exitOnUncaughtExceptions();
            Place place = Place.valueOf(args[0]);
            EventHandler<String> handler =
                    new EventHandler<>() {
                        @Override
                        public void onEvent(String event, long now) {
                            fail();
                        }

                        @Override
                        public void onTick(long now) {
                            if (place == Place.TICK) {
                                fail();
                            }
                        }
                    };
            EventLoop<String> eventLoop =
                    EventLoop.start(
                            "loop",
                            8,
                            handler,
                            MonotonicClock.system(),
                            TimeUnit.MILLISECONDS.toNanos(1));
            switch (place) {
                case EVENT -> eventLoop.post("fail");
                case QUERY -> eventLoop.query(Program::fail);
                case CALLBACK -> {
                    CompletableFuture<String> future = CompletableFuture.completedFuture("value");
                    future.thenAccept(
                            EventLoopCallbacks.rethrowing(
                                    task -> eventLoop.query(() -> run(task)), value -> fail()));
                }
                case PLAIN_THREAD -> new Thread(Program::fail).start();
                case REPORTED -> FatalErrors.report(new AssertionError("unexpected"));
                default -> {}
            }
            new CountDownLatch(1).await();
        }

        private static Object run(Runnable task) {
            task.run();
            return "done";
        }

        private static Object fail() {
            throw new AssertionError("unexpected\nin two lines");
        }
    }

    @ParameterizedTest
    @EnumSource
    void anErrorEndsTheProcessWithOneLine(Place place) throws Exception {
        Process process =
                new ProcessBuilder(
                                ProcessHandle.current().info().command().orElse("java"),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Program.class.getName(),
                                place.name())
                        .start();
        String output = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);

        assertThat(output, process.waitFor(), is(FatalErrors.EXIT_STATUS));
        assertThat(output, containsString("unexpected"));
        assertThat(output.lines().count(), is(1L));
    }
}
