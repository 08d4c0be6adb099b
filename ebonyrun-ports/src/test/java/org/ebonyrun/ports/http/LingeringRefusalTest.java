package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.memory.BodyAdmission;
import org.ebonyrun.base.memory.MemoryAccount;
import org.junit.jupiter.api.Test;

/** Guards against refused callers that hold their connections by never ending their requests. */
class LingeringRefusalTest extends FrontServerFixture {
    private static final int MAX_LINGERING = 2;
    private static final FrontLimits LIMITS = new FrontLimits(300, 100, 60_000, 60_000);
    private static final String TOO_LARGE =
            "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n";

    LingeringRefusalTest() {
        super(
                LIMITS,
                new FrontMemory(
                        MemoryAccount.unlimited(),
                        new BodyAdmission(0, MAX_LINGERING),
                        HttpHeaders.empty()));
    }

    @Test
    void fewRefusedRequestsAreReadToTheirEnd() throws Exception {
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < 5 * MAX_LINGERING; i++) {
            Socket caller = send(TOO_LARGE);
            callers.add(caller);
            assertThat(readAll(caller), startsWith("HTTP/1.1 413"));
        }

        assertThat(mServer.connectionCount(), is(MAX_LINGERING));
        for (Socket caller : callers) {
            caller.close();
        }
        // Those that have left make room for others.
        while (mServer.connectionCount() > 0) {
            Thread.onSpinWait();
        }
        try (Socket next = send(TOO_LARGE)) {
            assertThat(readAll(next), startsWith("HTTP/1.1 413"));
            assertThat(mServer.connectionCount(), is(1));
        }
    }
}
