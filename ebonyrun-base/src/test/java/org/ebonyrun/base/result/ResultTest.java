package org.ebonyrun.base.result;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ResultTest {
    private static final Fault FAULT =
            Fault.unknown(FaultCode.PEER_LOST, "agent.link", "vm-1", "lost");

    @Test
    void mapsValuesAndKeepsFaults() {
        assertThat(Result.ok(2).map(n -> n + 1).orThrow(), is(3));
        Result<Integer> failed = Result.<Integer>err(FAULT).map(n -> n + 1);
        assertThat(failed.fold(n -> "value", Fault::peer), is("vm-1"));
    }

    @Test
    void orThrowThrowsForAFault() {
        assertThrows(IllegalStateException.class, () -> Result.err(FAULT).orThrow());
    }

    @Test
    void faultCopiesHaveTheGivenOutcomeAndRetryDelay() {
        assertThat(FAULT.isNotRun(), is(false));
        assertThat(FAULT.withOutcome(Outcome.NOT_RUN).isNotRun(), is(true));
        assertThat(FAULT.code().wireName(), is("peer-lost"));
        assertThat(FAULT.withRetryAfterMillis(5).retryAfterMillis(), is(5L));
    }
}
