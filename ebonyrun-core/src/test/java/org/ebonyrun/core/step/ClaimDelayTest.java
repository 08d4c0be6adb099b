package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClaimDelayTest {
    private static final long NO_OUTAGE = Long.MAX_VALUE;
    // A probe of the store every 250 ms, and a round trip each for the keys, a lease and the claim.
    private static final long OWNER_NOTICES_NANOS = Nanos.ofMillis(250 + 3 * 50);

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.5, 1})
    void afterAnOutageTheOwnerThatStillRunsClaimsFirst(double random) {
        assertThat(ClaimDelay.nanos(0, 0, random), greaterThan(OWNER_NOTICES_NANOS));
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000_000_000L, NO_OUTAGE})
    void anOwnerThatEndsAtAnotherTimeIsReplacedAtOnce(long sinceOutage) {
        assertThat(ClaimDelay.nanos(0, sinceOutage, 1), lessThan(Nanos.ofMillis(100)));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, NO_OUTAGE})
    void anEntryThatOwnsFewerStepsClaimsFirst(long sinceOutage) {
        assertThat(
                ClaimDelay.nanos(2, sinceOutage, 0),
                greaterThan(ClaimDelay.nanos(1, sinceOutage, 1)));
    }
}
