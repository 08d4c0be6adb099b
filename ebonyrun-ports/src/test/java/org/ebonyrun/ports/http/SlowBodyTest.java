package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.time.Nanos;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A body that makes no progress ends its connection; one that is only slow does not. */
class SlowBodyTest {
    private static final long IDLE_NANOS = Nanos.ofMillis(15_000);
    private static final long HEADER_NANOS = Nanos.ofMillis(3_000);
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long START = 1;

    private static final class IgnoringListener implements FrontListener {
        @Override
        public void onRequest(FrontExchange exchange) {}

        @Override
        public void onAbandoned(FrontExchange exchange) {}
    }

    /** Sends the same number of bytes each second, and checks whether the connection survives. */
    @ParameterizedTest
    @CsvSource({"1, 60, true", "100, 60, true", "1, 15, false", "2000, 300, false"})
    void aBodyEndsItsConnectionUnlessItComesFastEnough(
            int bytesPerSecond, int seconds, boolean expected) {
        FrontConnection connection =
                new FrontConnection(
                        null,
                        new IgnoringListener(),
                        new UnparsedInput(MemoryAccount.unlimited().open(MemoryClass.INPUT)),
                        false,
                        START);
        MemoryClaim claim = MemoryAccount.unlimited().open(MemoryClass.REQUEST);
        BodyBuffer body = new BodyBuffer(MAX_BODY_BYTES, claim);
        connection.onBytesReceived(START);
        connection.setPendingBody(body, START);
        boolean expired = false;
        for (int i = 1; i <= seconds && !expired; i++) {
            long now = START + i * Nanos.PER_SECOND;
            connection.onBytesReceived(now);
            byte[] piece = new byte[bytesPerSecond];
            claim.grow(body.missing(bytesPerSecond));
            body.add(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, piece));
            expired = connection.isExpired(now, IDLE_NANOS, HEADER_NANOS);
        }

        assertThat(expired, is(expected));
    }
}
