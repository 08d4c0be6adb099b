package org.ebonyrun.core.hedge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class QuantileHedgingTest {
    private static final double SHARE = 0.05;
    private static final long HALF_TARGET = FakeOpenCall.TARGET_NANOS / 2;

    private final FakeOpenCall mCall = new FakeOpenCall();
    private final QuantileHedging mHedging = new QuantileHedging(() -> SHARE);

    /** Observes answers of equal latency. */
    private void observe(String endpoint, int count, long millis, long now) {
        for (int i = 0; i < count; i++) {
            mHedging.onLatency(
                    "r",
                    EndpointFixtures.SERVICE,
                    mCall.mFleet.get(endpoint),
                    Nanos.ofMillis(millis),
                    now);
        }
    }

    private void earnRuns(int runs) {
        for (int i = 0; i < runs / SHARE; i++) {
            mHedging.onCallAnswered();
        }
    }

    @Test
    void aCallIsHedgedElsewhereOnceItsDelayHasPassed() {
        earnRuns(1);

        assertThat(mHedging.decide(mCall, HALF_TARGET - 1).verdict(), is(HedgeVerdict.NOT_YET));
        HedgeDecision decision = mHedging.decide(mCall, HALF_TARGET);
        assertThat(decision.verdict(), is(HedgeVerdict.SEND));
        assertThat(decision.scopes(), contains(HedgeScope.OTHER_DOMAIN, HedgeScope.UNTRIED));
    }

    @ParameterizedTest
    @EnumSource(
            value = HedgeVerdict.class,
            names = {"SEND", "NOT_YET", "NO_ENDPOINT"},
            mode = EnumSource.Mode.EXCLUDE)
    void theReasonAgainstAnAttemptIsNamed(HedgeVerdict verdict) {
        if (verdict != HedgeVerdict.EXTRA_WORK_USED) {
            earnRuns(1);
        }
        mCall.mIdempotent = verdict != HedgeVerdict.MAY_NOT_REPEAT;
        mCall.mMayRunAgain = verdict != HedgeVerdict.ATTEMPTS_USED;
        mCall.mCrashed = verdict == HedgeVerdict.CRASHED;
        int waiting = verdict == HedgeVerdict.SERVICE_BUSY ? 1 : 0;
        mCall.mUse = new ServiceUse(waiting, 1, 12, verdict == HedgeVerdict.LIMITED);
        HedgeDecision decision = mHedging.decide(mCall, HALF_TARGET);

        assertThat(decision.verdict(), is(verdict));
        assertThat(decision.scopes(), is(empty()));
    }

    @Test
    void aCallIsHedgedOnlyOnce() {
        earnRuns(4);
        mCall.mHedged = true;

        assertThat(mHedging.decide(mCall, HALF_TARGET).verdict(), is(HedgeVerdict.ATTEMPTS_USED));
    }

    @ParameterizedTest
    @CsvSource({
        // Too few observations of the service, then of the endpoint, then enough of both.
        "5, 10, 10, 10, TARGET, 75",
        "10, 20, 30, 60, SERVICE, 64",
        "40, 20, 40, 60, ENDPOINT, 21",
        // An endpoint that is slow as a whole does not set its own delay.
        "25, 90, 600, 20, SERVICE, 21"
    })
    void theDelayComesFromTheServiceUnlessTheEndpointIsFaster(
            int ownCount,
            long ownMillis,
            int otherCount,
            long otherMillis,
            HedgeDelay.Source source,
            long maxMillis) {
        observe("e1", ownCount, ownMillis, 0);
        observe("e2", otherCount, otherMillis, 0);
        HedgeDelay delay = mHedging.decide(mCall, 0).delay();

        assertThat(delay.source(), is(source));
        assertThat(delay.nanos(), lessThanOrEqualTo(Nanos.ofMillis(maxMillis)));
    }

    @Test
    void latenciesOfAnEarlierIncarnationDoNotCountForTheEndpoint() {
        observe("e2", 30, 60, 0);
        observe("e1", 30, 20, 0);
        assertThat(mHedging.decide(mCall, 0).delay().source(), is(HedgeDelay.Source.ENDPOINT));
        mCall.mFleet.onRecord(EndpointFixtures.record("e1", 7, 6, 1, false));

        assertThat(mHedging.decide(mCall, 0).delay().source(), is(HedgeDelay.Source.SERVICE));
    }

    @ParameterizedTest
    @CsvSource({"8, SEND", "9, SERVICE_BUSY", "12, SERVICE_BUSY"})
    void noCallIsHedgedWhileAServiceIsNearlyFull(int active, HedgeVerdict verdict) {
        earnRuns(1);
        mCall.mUse = new ServiceUse(0, active, 12, false);

        assertThat(mHedging.decide(mCall, HALF_TARGET).verdict(), is(verdict));
    }

    @ParameterizedTest
    @CsvSource({"100, SERVICE_BUSY", "999, SERVICE_BUSY", "1000, SEND"})
    void noCallIsHedgedForASecondAfterARejection(long millisLater, HedgeVerdict verdict) {
        earnRuns(1);
        mHedging.onRejected(EndpointFixtures.SERVICE, 0);

        assertThat(mHedging.decide(mCall, Nanos.ofMillis(millisLater)).verdict(), is(verdict));
    }

    @ParameterizedTest
    @CsvSource({"2, SEND", "4, SEND", "6, SERVICE_BUSY", "20, SERVICE_BUSY"})
    void noCallIsHedgedWhileMostAnswersAreSlow(int slowAnswers, HedgeVerdict verdict) {
        earnRuns(1);
        observe("e1", 500, 20, 0);
        observe("e1", slowAnswers, 400, 0);

        assertThat(mHedging.decide(mCall, Nanos.ofMillis(500)).verdict(), is(verdict));
    }

    @Test
    void theUseOfAnOverloadedServiceIsNotLookedAt() {
        earnRuns(1);
        mHedging.onRejected(EndpointFixtures.SERVICE, 0);
        mHedging.decide(mCall, HALF_TARGET);

        assertThat(mCall.mUseReads, is(0));
    }

    @ParameterizedTest
    @CsvSource({"1, EXTRA_WORK_USED", "2, EXTRA_WORK_USED", "3, SEND", "4, SEND"})
    void backgroundCallsLeaveSavedRunsToInteractiveOnes(int earned, HedgeVerdict verdict) {
        earnRuns(earned);
        mCall.mBackground = true;
        assertThat(mHedging.decide(mCall, HALF_TARGET).verdict(), is(verdict));
        mCall.mBackground = false;

        assertThat(mHedging.decide(mCall, HALF_TARGET).verdict(), is(HedgeVerdict.SEND));
    }

    @Test
    void eachHedgedAttemptIsPaidFor() {
        earnRuns(2);
        for (int i = 0; i < 2; i++) {
            assertThat(mHedging.decide(mCall, HALF_TARGET).verdict(), is(HedgeVerdict.SEND));
            mHedging.onHedgeSent();
        }

        assertThat(mHedging.decide(mCall, HALF_TARGET).verdict(), is(HedgeVerdict.EXTRA_WORK_USED));
    }
}
