package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An error that a listener throws on an I/O or timer thread is not lost. */
class ListenerErrorTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int TIMEOUT_MILLIS = 300;

    private final BlockingQueue<String> mFatal = new LinkedBlockingQueue<>();
    private Thread.UncaughtExceptionHandler mPrevious;

    /** The call of the listener that throws. */
    enum Call {
        HEAD,
        DATA,
        END,
        FAILURE
    }

    /** Throws in one of its calls. */
    private record FailingListener(Call call) implements HttpResponseListener {
        private void failIn(Call current) {
            if (current == call) {
                throw new AssertionError("error in " + current);
            }
        }

        @Override
        public void onHead(HttpResponseHead head) {
            failIn(Call.HEAD);
        }

        @Override
        public void onData(byte[] data) {
            failIn(Call.DATA);
        }

        @Override
        public void onEnd() {
            failIn(Call.END);
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            failIn(Call.FAILURE);
        }
    }

    @BeforeEach
    void record() {
        mPrevious = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, error) -> mFatal.add(String.valueOf(error.getMessage())));
    }

    @AfterEach
    void restore() {
        Thread.setDefaultUncaughtExceptionHandler(mPrevious);
    }

    @ParameterizedTest
    @EnumSource
    void anErrorOfAResponseListenerIsFatal(Call call) throws Exception {
        try (ScriptedServer server = ScriptedServer.start();
                AsyncHttpClient client = AsyncHttpClient.start()) {
            HttpRequest request =
                    new HttpRequest(
                            "GET",
                            server.address(),
                            "/",
                            HttpHeaders.of("X-Id", "1"),
                            new byte[0],
                            TIMEOUT_MILLIS,
                            Correlation.byHeader("X-Id", "1"));
            client.send(request, new FailingListener(call));
            if (call != Call.FAILURE) {
                server.next().answer("1");
            }

            assertThat(mFatal.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("error in " + call));
        }
    }

    @Test
    void anErrorOfARequestListenerIsFatal() throws Exception {
        FrontListener failing =
                new FrontListener() {
                    @Override
                    public void onRequest(FrontExchange exchange) {
                        throw new AssertionError("error in a request");
                    }

                    @Override
                    public void onAbandoned(FrontExchange exchange) {}
                };
        FrontConnection connection =
                new FrontConnection(
                        null,
                        failing,
                        new UnparsedInput(MemoryAccount.unlimited().open(MemoryClass.INPUT)),
                        false,
                        0);
        try {
            MemoryClaim claim = MemoryAccount.unlimited().open(MemoryClass.REQUEST);
            connection.submit(
                    new FrontExchange(
                            RequestLine.UNREADABLE,
                            HttpHeaders.empty(),
                            new byte[0],
                            connection,
                            true,
                            claim));
        } catch (AssertionError expected) {
            // Reported before it is rethrown.
        }

        assertThat(mFatal.poll(), notNullValue());
    }
}
