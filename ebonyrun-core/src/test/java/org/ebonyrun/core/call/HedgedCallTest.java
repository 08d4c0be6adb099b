package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.LimitNotice;
import org.ebonyrun.core.hedge.ConfiguredHedging;
import org.ebonyrun.core.hedge.HedgeDecision;
import org.ebonyrun.core.hedge.HedgeDelay;
import org.ebonyrun.core.hedge.HedgeVerdict;
import org.ebonyrun.core.hedge.Hedging;
import org.ebonyrun.core.hedge.ServiceUse;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests hedged attempts within a limit of extra work. */
class HedgedCallTest {
    private static final long ANSWER_NANOS = Nanos.ofMillis(20);
    // Longer than the delay, which comes from answers after 20 ms.
    private static final long SLOW_NANOS = Nanos.ofMillis(30);

    private final Fleet mFleet = Fleet.create();
    private final FakeCallOutputs mOutputs = new FakeCallOutputs();
    private OptionalDouble mLimit = OptionalDouble.of(0.05);
    private boolean mCrashed;
    private CallMachine mMachine = machine(Policy.ALL);
    private long mNow;
    private long mLastCall;

    private CallMachine machine(Policy policy) {
        CallGuard guard =
                new CallGuard() {
                    @Override
                    public CallAdmission admission(CallSpec call) {
                        return CallAdmission.ADMITTED;
                    }

                    @Override
                    public boolean mayRetry(CallSpec call) {
                        return true;
                    }

                    @Override
                    public boolean hasCrashed(CallSpec call) {
                        return mCrashed;
                    }

                    @Override
                    public long retryAfterMillis(CallSpec call) {
                        return 0;
                    }
                };
        return CallMachine.create(
                mFleet,
                FailureDomain.of("a"),
                policy,
                new ConfiguredHedging(() -> mLimit),
                guard,
                mOutputs);
    }

    private void addEndpoint(String id, String domain) {
        mFleet.onRecord(EndpointFixtures.record(id, 8, 1, domain));
    }

    /** Starts a call and returns its attempt. */
    private long send(RouteKind kind, int maxAttempts) {
        long id = ++mLastCall;
        CallSpec call =
                new CallSpec(
                        id,
                        "r" + id,
                        EndpointFixtures.route(
                                kind,
                                new CallOptions(3_000, 400, maxAttempts, 1),
                                StepOptions.NONE),
                        EndpointFixtures.SERVICE,
                        mNow,
                        mNow + Nanos.ofMillis(3_000),
                        false,
                        null,
                        null);
        mMachine.onCall(call, mNow);
        return mOutputs.last().attempt();
    }

    private void answer(long attempt) {
        mMachine.onAttemptEnd(attempt, AttemptOutcome.ANSWERED, mNow);
    }

    /** Lets calls be answered after 20 ms each, until the entry may hedge a number of calls. */
    private void earn(int hedges) {
        for (int i = 0; i < hedges * 20; i++) {
            long attempt = send(RouteKind.IDEMPOTENT, 3);
            mNow += ANSWER_NANOS;
            answer(attempt);
        }
    }

    private void tickAfter(long nanos) {
        mNow += nanos;
        mMachine.onTick(mNow);
    }

    private String endpointOf(long attempt) {
        return mOutputs.mSent.get((int) attempt - 1).endpoint();
    }

    @Test
    void theFirstAnswerIsDeliveredAndTheOtherAttemptIsEndedAtOnce() {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        earn(1);
        long first = send(RouteKind.IDEMPOTENT, 2);
        tickAfter(ANSWER_NANOS);
        assertThat(mOutputs.last().attempt(), is(first));
        tickAfter(SLOW_NANOS - ANSWER_NANOS);
        long second = mOutputs.last().attempt();
        assertThat(second, is(first + 1));
        assertThat(endpointOf(second), not(endpointOf(first)));
        answer(second);

        assertThat(mOutputs.mCancelled, contains(first));
        assertThat(mOutputs.mOutcomes.get(mLastCall), is("delivered " + second));
        assertThat(mFleet.get("e1").activeRequests() + mFleet.get("e2").activeRequests(), is(0));
        assertThat(mOutputs.mHedgeEnds, contains(true));
        // The answer of the loser, if it still comes, belongs to no call.
        answer(first);
        assertThat(mOutputs.mOutcomeCounts.get(mLastCall), is(1));
    }

    @Test
    void aHedgedAttemptThatLosesIsEndedAtOnce() {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        earn(1);
        long first = send(RouteKind.IDEMPOTENT, 2);
        tickAfter(SLOW_NANOS);
        answer(first);

        assertThat(mOutputs.mCancelled, contains(first + 1));
        assertThat(mOutputs.mOutcomes.get(mLastCall), is("delivered " + first));
        assertThat(mOutputs.mHedgeEnds, contains(false));
    }

    @Test
    void anAbandonedCallEndsBothAttempts() {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        earn(1);
        long first = send(RouteKind.IDEMPOTENT, 2);
        tickAfter(SLOW_NANOS);
        mMachine.onAbandoned(mLastCall, mNow);

        assertThat(mOutputs.mCancelled.stream().sorted().toList(), is(List.of(first, first + 1)));
        assertThat(mFleet.get("e1").activeRequests() + mFleet.get("e2").activeRequests(), is(0));
    }

    @Test
    void callsThatAStalledEndpointHoldsAreAnsweredByOthersWithinTheLimit() {
        addEndpoint("e1", "a");
        addEndpoint("e2", "b");
        addEndpoint("e3", "b");
        earn(8);
        int before = mOutputs.mSent.size();
        // All answers were alike, so one call after the other fills e1 first.
        for (int i = 0; i < 6; i++) {
            send(RouteKind.IDEMPOTENT, 2);
        }
        long stalled =
                mOutputs.mSent.stream()
                        .skip(before)
                        .filter(sent -> sent.endpoint().equals("e1"))
                        .count();
        assertThat(stalled, greaterThan(0L));
        for (FakeCallOutputs.Sent sent : List.copyOf(mOutputs.mSent.subList(before, before + 6))) {
            if (!sent.endpoint().equals("e1")) {
                answer(sent.attempt());
            }
        }
        tickAfter(SLOW_NANOS);
        List<FakeCallOutputs.Sent> hedges =
                List.copyOf(mOutputs.mSent.subList(before + 6, mOutputs.mSent.size()));

        // Four runs are saved at most.
        assertThat((long) hedges.size(), is(Math.min(4, stalled)));
        hedges.forEach(hedge -> assertThat(hedge.endpoint(), not("e1")));
    }

    @ParameterizedTest
    @CsvSource({"b, e3", "a, e2"})
    void anotherFailureDomainIsPreferred(String domainOfThird, String expected) {
        addEndpoint("e1", "a");
        earn(1);
        long first = send(RouteKind.IDEMPOTENT, 2);
        addEndpoint("e2", "a");
        addEndpoint("e3", domainOfThird);
        tickAfter(SLOW_NANOS);

        assertThat(endpointOf(first), is("e1"));
        assertThat(mOutputs.last().endpoint(), is(expected));
    }

    @Test
    void theOwnDomainIsUsedWhileNoOtherHasRoom() {
        addEndpoint("e1", "a");
        earn(1);
        send(RouteKind.IDEMPOTENT, 2);
        addEndpoint("e2", "a");
        addEndpoint("e3", "b");
        mFleet.get("e3").onFailure(mNow);
        tickAfter(SLOW_NANOS);

        assertThat(mOutputs.last().endpoint(), is("e2"));
    }

    @Test
    void aCallIsNotHedgedAtTheEndpointThatHasIt() {
        addEndpoint("e1", "a");
        earn(1);
        long first = send(RouteKind.IDEMPOTENT, 2);
        tickAfter(SLOW_NANOS);

        assertThat(mOutputs.last().attempt(), is(first));
        assertThat(mOutputs.mHedgeVerdicts, contains(HedgeVerdict.NO_ENDPOINT));
    }

    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"ONCE", "STREAM", "RESUMABLE_STREAM"})
    void aCallThatMayNotRunTwiceAtATimeIsNotHedged(RouteKind kind) {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        earn(4);
        long first = send(kind, 3);
        tickAfter(Nanos.ofMillis(1_000));

        assertThat(mOutputs.last().attempt(), is(first));
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "3, 2"})
    void aCallHasNoMoreAttemptsThanItsRouteAllowsAndOneHedgedOne(int maxAttempts, int attempts) {
        for (int i = 1; i <= 4; i++) {
            addEndpoint("e" + i, "a");
        }
        earn(4);
        long first = send(RouteKind.IDEMPOTENT, maxAttempts);
        for (int i = 0; i < 20; i++) {
            tickAfter(SLOW_NANOS);
        }

        assertThat(mOutputs.last().attempt(), is(first + attempts - 1));
    }

    @Test
    void aRetryAfterAHedgedAttemptStaysWithinTheAttemptsOfTheRoute() {
        for (int i = 1; i <= 4; i++) {
            addEndpoint("e" + i, "a");
        }
        earn(4);
        long first = send(RouteKind.IDEMPOTENT, 2);
        tickAfter(SLOW_NANOS);
        mMachine.onAttemptEnd(first, AttemptOutcome.SERVER_ERROR, mNow);
        mMachine.onAttemptEnd(first + 1, AttemptOutcome.SERVER_ERROR, mNow);

        assertThat(mOutputs.last().attempt(), is(first + 1));
        assertThat(mOutputs.mOutcomes.get(mLastCall), is("delivered " + (first + 1)));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCallThatCrashedAnEndpointIsNotHedged(boolean equalCallCrashed) {
        for (int i = 1; i <= 3; i++) {
            addEndpoint("e" + i, "a");
        }
        earn(4);
        long attempt = send(RouteKind.IDEMPOTENT, 3);
        if (equalCallCrashed) {
            mCrashed = true;
        } else {
            mMachine.onAttemptEnd(attempt, AttemptOutcome.LOST, mNow);
        }
        int sent = mOutputs.mSent.size();
        tickAfter(Nanos.ofMillis(1_000));

        assertThat(mOutputs.mSent.size(), is(sent));
        assertThat(mOutputs.mHedgeVerdicts, contains(HedgeVerdict.CRASHED));
    }

    @Test
    void aCallWithAnUnusableAnswerHasNotCrashedAnEndpoint() {
        for (int i = 1; i <= 3; i++) {
            addEndpoint("e" + i, "a");
        }
        earn(4);
        long first = send(RouteKind.IDEMPOTENT, 3);
        mMachine.onAttemptEnd(first, AttemptOutcome.UNUSABLE, mNow);
        tickAfter(SLOW_NANOS);

        assertThat(mOutputs.mHedgeVerdicts, contains(HedgeVerdict.SEND));
    }

    @Test
    void noCallOfAServiceWithLimitedEndpointsIsHedged() {
        for (int i = 1; i <= 3; i++) {
            addEndpoint("e" + i, "a");
        }
        earn(4);
        long first = send(RouteKind.IDEMPOTENT, 3);
        mFleet.onLimitNotice(
                EndpointFixtures.record("e3", 8, 1), LimitNotice.limitedTo(5), mNow, mNow);
        tickAfter(SLOW_NANOS);

        assertThat(mOutputs.last().attempt(), is(first));
        assertThat(mOutputs.mHedgeVerdicts, hasItem(HedgeVerdict.LIMITED));
    }

    @ParameterizedTest
    @CsvSource({"EXTRA_WORK_USED, 0", "NOT_YET, 1"})
    void aVerdictIsReportedOnceForACall(HedgeVerdict verdict, int earned) {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        earn(earned);
        send(RouteKind.IDEMPOTENT, 3);
        for (int i = 0; i < 20; i++) {
            tickAfter(earned == 0 ? Nanos.ofMillis(50) : 1);
        }

        assertThat(
                mOutputs.mHedgeVerdicts,
                is(verdict == HedgeVerdict.NOT_YET ? List.of() : List.of(verdict)));
    }

    @Test
    void anEndpointWhoseAttemptsLoseGetsFewerCalls() {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        earn(1);
        long first = send(RouteKind.IDEMPOTENT, 2);
        String loser = endpointOf(first);
        double before = mFleet.get(loser).latencyNanos();
        tickAfter(Nanos.ofMillis(50));
        mNow += ANSWER_NANOS;
        answer(first + 1);

        assertThat(mFleet.get(loser).latencyNanos(), greaterThan(before));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aHedgedAttemptThatLosesSoonTellsNoLatency(boolean newEndpoint) {
        addEndpoint("e1", "a");
        if (!newEndpoint) {
            addEndpoint("e2", "a");
        }
        earn(1);
        long first = send(RouteKind.IDEMPOTENT, 2);
        if (newEndpoint) {
            addEndpoint("e2", "a");
        }
        tickAfter(SLOW_NANOS);
        String loser = mOutputs.last().endpoint();
        double before = mFleet.get(loser).latencyNanos();
        mNow += Nanos.ofMillis(1);
        answer(first);

        assertThat(mOutputs.mCancelled, contains(first + 1));
        assertThat(mFleet.get(loser).latencyNanos(), is(before));
    }

    @Test
    void hedgedAttemptsThatLoseSoonDoNotShortenTheDelay() {
        mLimit = OptionalDouble.of(0.25);
        addEndpoint("e1", "a");
        earn(1);
        addEndpoint("e2", "b");
        for (int i = 0; i < 4; i++) {
            long first = send(RouteKind.IDEMPOTENT, 2);
            tickAfter(SLOW_NANOS);
            assertThat(mOutputs.last().endpoint(), is("e2"));
            mNow += Nanos.ofMillis(1);
            answer(first);
        }
        mFleet.get("e1").onFailure(mNow);
        long first = send(RouteKind.IDEMPOTENT, 2);
        assertThat(endpointOf(first), is("e2"));
        addEndpoint("e3", "a");
        tickAfter(ANSWER_NANOS);
        assertThat(mOutputs.last().attempt(), is(first));
        tickAfter(SLOW_NANOS);

        assertThat(mOutputs.last().attempt(), is(first + 1));
    }

    @Test
    void theUseOfAServiceIsComputedOnceInATick() {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        Set<ServiceUse> uses = Collections.newSetFromMap(new IdentityHashMap<>());
        Hedging hedging =
                (call, now) -> {
                    uses.add(call.use());
                    HedgeDelay delay = new HedgeDelay(0, HedgeDelay.Source.TARGET, 0, 0);
                    return new HedgeDecision(HedgeVerdict.SERVICE_BUSY, delay, List.of());
                };
        mMachine =
                CallMachine.create(
                        mFleet,
                        FailureDomain.of("a"),
                        Policy.ALL,
                        hedging,
                        CallGuard.NONE,
                        mOutputs);
        for (int i = 0; i < 10; i++) {
            send(RouteKind.IDEMPOTENT, 2);
        }
        tickAfter(SLOW_NANOS);
        assertThat(uses.size(), is(1));
        tickAfter(SLOW_NANOS);

        assertThat(uses.size(), is(2));
    }

    @Test
    void aHedgedAttemptCountsForTheNextCallOfTheSameTick() {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        earn(4);
        // With one more request, three quarters of the 16 slots are in use.
        for (int i = 0; i < 11; i++) {
            send(RouteKind.IDEMPOTENT, 2);
        }
        int sent = mOutputs.mSent.size();
        tickAfter(SLOW_NANOS);

        assertThat(mOutputs.mSent.size(), is(sent + 1));
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, true", "STREAM, false", "RESUMABLE_STREAM, false"})
    void onlyCallsThatAreNotStreamsTellTheLatencyOfAnEndpointAtTheirDeadline(
            RouteKind kind, boolean told) {
        addEndpoint("e1", "a");
        earn(1);
        double before = mFleet.get("e1").latencyNanos();
        send(kind, 3);
        tickAfter(Nanos.ofMillis(3_000));

        assertThat(mOutputs.mOutcomes.get(mLastCall), is("timeout"));
        assertThat(mFleet.get("e1").latencyNanos() > before, is(told));
    }

    @ParameterizedTest
    @CsvSource({"true, , 200, 2", "true, 0, 200, 1", "false, , 200, 1", "false, 0.05, 200, 1"})
    void theSettingsDecideWhetherCallsAreHedged(
            boolean mechanism, @Nullable Double limit, long millis, int attempts) {
        addEndpoint("e1", "a");
        addEndpoint("e2", "a");
        mMachine = machine(mechanism ? Policy.ALL : Policy.ALL.without(Mechanism.HEDGED_CALLS));
        mLimit = limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit);
        earn(2);
        long first = send(RouteKind.IDEMPOTENT, 2);
        tickAfter(Nanos.ofMillis(millis - 1));
        assertThat(mOutputs.last().attempt(), is(first));
        tickAfter(Nanos.ofMillis(1));

        assertThat(mOutputs.last().attempt(), is(first + attempts - 1));
    }
}
