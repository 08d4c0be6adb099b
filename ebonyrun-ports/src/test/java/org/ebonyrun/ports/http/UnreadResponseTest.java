package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A caller that reads none of a response is disconnected, also if it goes on to send. */
class UnreadResponseTest {
    private static final long IDLE_NANOS = Nanos.ofMillis(15_000);
    private static final long HEADER_NANOS = Nanos.ofMillis(3_000);
    private static final int RESPONSE_BYTES = 1_000;
    private static final long START = 1;

    private static final class IgnoringListener implements FrontListener {
        @Override
        public void onRequest(FrontExchange exchange) {}

        @Override
        public void onAbandoned(FrontExchange exchange) {}
    }

    /** Reads a byte of the response every few seconds, and sends a byte each second. */
    @ParameterizedTest
    @CsvSource({"10, false", "14, false", "20, true"})
    void onlyReadingKeepsTheConnection(int secondsBetweenReads, boolean expected) {
        MemoryAccount account = MemoryAccount.unlimited();
        UnparsedInput input = new UnparsedInput(account.open(MemoryClass.INPUT));
        FrontConnection connection =
                new FrontConnection(null, new IgnoringListener(), input, false, START);
        connection.submit(
                new FrontExchange(
                        RequestLine.UNREADABLE,
                        HttpHeaders.empty(),
                        new byte[0],
                        connection,
                        true,
                        account.open(MemoryClass.REQUEST)));
        connection.onWriteStarted(RESPONSE_BYTES, START);
        boolean expired = false;
        for (int i = 1; i <= 60 && !expired; i++) {
            long now = START + i * Nanos.PER_SECOND;
            connection.onBytesReceived(now);
            if (i % secondsBetweenReads == 0) {
                connection.onWritten(1, now);
            }
            expired = connection.isExpired(now, IDLE_NANOS, HEADER_NANOS);
        }

        assertThat(expired, is(expected));
    }
}
