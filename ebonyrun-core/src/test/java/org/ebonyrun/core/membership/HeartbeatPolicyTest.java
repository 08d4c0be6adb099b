package org.ebonyrun.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HeartbeatPolicyTest {
    private final HeartbeatPolicy mPolicy = new HeartbeatPolicy();

    @BeforeEach
    void sendFirstHeartbeat() {
        assertThat(mPolicy.markSentIfDue(load(2, 1, false), 0), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        "2, 1, false, 999, false",
        "2, 1, false, 1000, true",
        "3, 1, false, 499, false",
        "3, 1, false, 500, true",
        "2, 2, false, 1, true",
        "2, 1, true, 1, true"
    })
    void sendsChangedLoadSoonerThanUnchangedLoad(
            int running, long version, boolean leaving, long millis, boolean due) {
        boolean isDue =
                mPolicy.markSentIfDue(load(running, version, leaving), Nanos.ofMillis(millis));
        assertThat(isDue, is(due));
    }

    private static EndpointLoad load(int running, long version, boolean leaving) {
        return new EndpointLoad(8, running, 0, 4, version, false, leaving, 0);
    }
}
