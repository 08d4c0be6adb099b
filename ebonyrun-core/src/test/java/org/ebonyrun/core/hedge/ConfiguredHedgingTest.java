package org.ebonyrun.core.hedge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class ConfiguredHedgingTest {
    private static final long LATE = FakeOpenCall.TARGET_NANOS;

    private OptionalDouble mLimit = OptionalDouble.empty();
    private final FakeOpenCall mCall = new FakeOpenCall();
    private final ConfiguredHedging mHedging = new ConfiguredHedging(() -> mLimit);

    @Test
    void withoutALimitCallsAreHedgedAfterHalfOfTheirTarget() {
        assertThat(mHedging.decide(mCall, LATE / 2 - 1).verdict(), is(HedgeVerdict.NOT_YET));
        for (int i = 0; i < 100; i++) {
            HedgeDecision decision = mHedging.decide(mCall, LATE / 2);
            assertThat(decision.verdict(), is(HedgeVerdict.SEND));
            assertThat(decision.scopes(), contains(HedgeScope.ANY));
            mHedging.onHedgeSent();
        }
    }

    @Test
    void withALimitOfZeroNoCallIsHedged() {
        mLimit = OptionalDouble.of(0);

        assertThat(mHedging.decide(mCall, LATE).verdict(), is(HedgeVerdict.NOT_YET));
    }

    @Test
    void aLimitIsInForceAtOnceAndStartsWithoutExtraWork() {
        for (int i = 0; i < 1_000; i++) {
            mHedging.onCallAnswered();
        }
        mLimit = OptionalDouble.of(0.05);
        assertThat(mHedging.decide(mCall, LATE).verdict(), is(HedgeVerdict.EXTRA_WORK_USED));
        for (int i = 0; i < 20; i++) {
            mHedging.onCallAnswered();
        }

        assertThat(mHedging.decide(mCall, LATE).verdict(), is(HedgeVerdict.SEND));
    }

    @Test
    void aLimitThatComesBetweenADecisionAndItsAttemptIsNotCharged() {
        assertThat(mHedging.decide(mCall, LATE).verdict(), is(HedgeVerdict.SEND));
        mLimit = OptionalDouble.of(0.05);
        mHedging.onHedgeSent();

        assertThat(mHedging.decide(mCall, LATE).verdict(), is(HedgeVerdict.EXTRA_WORK_USED));
    }
}
