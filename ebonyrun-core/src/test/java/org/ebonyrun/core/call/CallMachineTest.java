package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.FakeGate;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.LimitNotice;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class CallMachineTest {
    private static final int MAX_ATTEMPTS = 2;
    private static final long DEADLINE = Nanos.ofMillis(800);

    private final Fleet mFleet = Fleet.create();
    private final FakeCallOutputs mOutputs = new FakeCallOutputs();
    private CallMachine mMachine = machine(Policy.ALL);

    private CallMachine machine(Policy policy) {
        return CallMachine.create(mFleet, FailureDomain.of("a"), policy, mOutputs);
    }

    private static Route route(RouteKind kind, int priority) {
        return EndpointFixtures.route(
                kind, new CallOptions(800, 150, MAX_ATTEMPTS, priority), StepOptions.NONE);
    }

    private static CallSpec call(long id, RouteKind kind, boolean background, long now) {
        return new CallSpec(
                id,
                "r" + id,
                route(kind, 1),
                EndpointFixtures.SERVICE,
                now,
                now + DEADLINE,
                background,
                null,
                null);
    }

    private void addEndpoints(int count, int slots) {
        for (int i = 1; i <= count; i++) {
            mFleet.onRecord(EndpointFixtures.record("e" + i, slots, 1));
        }
    }

    /** A guard whose answers a test sets. */
    private static final class FakeGuard implements CallGuard {
        CallAdmission mAdmission = CallAdmission.ADMITTED;
        boolean mMayRetry = true;

        @Override
        public CallAdmission admission(CallSpec call) {
            return mAdmission;
        }

        @Override
        public boolean mayRetry(CallSpec call) {
            return mMayRetry;
        }

        @Override
        public long retryAfterMillis(CallSpec call) {
            return 7_000;
        }
    }

    @ParameterizedTest
    @CsvSource({"v1, e1, ", "v2, e2, ", "v3, , refused"})
    void aResumedStreamRunsOnlyAtTheSoftwareVersionThatBeganIt(
            String software, @Nullable String endpoint, @Nullable String outcome) {
        mFleet.onRecord(EndpointFixtures.recordWithSoftware("e1", 4, 1, "v1"));
        mFleet.onRecord(EndpointFixtures.recordWithSoftware("e2", 4, 1, "v2"));
        StreamOrigin origin = new StreamOrigin(EndpointFixtures.SERVICE, software);
        for (long id = 1; id <= 4; id++) {
            CallSpec call = call(id, RouteKind.RESUMABLE_STREAM, false, 0).goingOnAt(origin);
            mMachine.onCall(call, 0);

            assertThat(mOutputs.mOutcomes.get(id), is(outcome));
        }
        assertThat(
                mOutputs.mSent.stream().allMatch(sent -> sent.endpoint().equals(endpoint)),
                is(true));
        assertThat(mOutputs.mSent.size(), is(endpoint == null ? 0 : 4));
    }

    @ParameterizedTest
    @CsvSource({"ADMITTED, 1,", "BLOCKED, 0, refused", "PENDING, 0,"})
    void aCallWaitsUntilItsGuardHasDecided(
            CallAdmission later, int sent, @Nullable String outcome) {
        FakeGuard guard = new FakeGuard();
        mMachine = CallMachine.create(mFleet, FailureDomain.of("a"), Policy.ALL, guard, mOutputs);
        addEndpoints(3, 4);
        guard.mAdmission = CallAdmission.PENDING;
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onTick(Nanos.ofMillis(10));
        assertThat(mOutputs.mSent.size(), is(0));
        guard.mAdmission = later;
        mMachine.onTick(Nanos.ofMillis(20));

        assertThat(mOutputs.mSent.size(), is(sent));
        assertThat(mOutputs.mOutcomes.get(1L), is(outcome));
    }

    @Test
    void aCallThatIsPendingUntilItsDeadlineIsRefused() {
        FakeGuard guard = new FakeGuard();
        mMachine = CallMachine.create(mFleet, FailureDomain.of("a"), Policy.ALL, guard, mOutputs);
        addEndpoints(3, 4);
        guard.mAdmission = CallAdmission.PENDING;
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onTick(DEADLINE);

        assertThat(mOutputs.mOutcomes.get(1L), is("refused"));
    }

    @ParameterizedTest
    @CsvSource({
        "true, true, 1, failed",
        "true, false, 1, failed",
        "false, false, 1, failed",
        "false, true, 2,"
    })
    void aCallThatAGuardStopsIsNotSentAgainOrHedged(
            boolean blocked, boolean mayRetry, int sent, @Nullable String outcome) {
        FakeGuard guard = new FakeGuard();
        mMachine = CallMachine.create(mFleet, FailureDomain.of("a"), Policy.ALL, guard, mOutputs);
        addEndpoints(3, 4);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        guard.mAdmission = blocked ? CallAdmission.BLOCKED : CallAdmission.ADMITTED;
        guard.mMayRetry = mayRetry;
        if (!mayRetry) {
            mMachine.onTick(Nanos.ofMillis(300));
        }
        mMachine.onAttemptEnd(1, AttemptOutcome.LOST, Nanos.ofMillis(300));

        assertThat(mOutputs.mSent.size(), is(sent));
        assertThat(mOutputs.mOutcomes.get(1L), is(outcome));
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 2, ", "ONCE, 1, failed"})
    void afterAnUnusableAnswerACallMayHaveRunButItsEndpointWorks(
            RouteKind kind, int sent, @Nullable String outcome) {
        addEndpoints(2, 4);
        mMachine.onCall(call(1, kind, false, 0), 0);
        Endpoint endpoint = mFleet.get(mOutputs.last().endpoint());
        mMachine.onAttemptEnd(1, AttemptOutcome.UNUSABLE, Nanos.ofMillis(5));

        assertThat(endpoint.isAvoided(Nanos.ofMillis(5)), is(false));
        assertThat(mOutputs.mSent.size(), is(sent));
        assertThat(mOutputs.mOutcomes.get(1L), is(outcome));
    }

    @Test
    void unusableAnswersCountAgainstTheAttemptsOfACall() {
        addEndpoints(3, 4);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onAttemptEnd(1, AttemptOutcome.UNUSABLE, Nanos.ofMillis(5));
        mMachine.onAttemptEnd(2, AttemptOutcome.UNUSABLE, Nanos.ofMillis(10));

        assertThat(mOutputs.mSent.size(), is(MAX_ATTEMPTS));
        assertThat(mOutputs.mOutcomes.get(1L), is("failed"));
    }

    @Test
    void nothingIsKeptOfAttemptsThatEnded() {
        addEndpoints(2, 4);
        CallSpec call = call(1, RouteKind.IDEMPOTENT, true, 0);
        mMachine.onCall(call, 0);
        long now = 0;
        int rejected = 0;
        while (rejected < 10) {
            int sent = mOutputs.mSent.size();
            mMachine.onAttemptEnd(mOutputs.last().attempt(), AttemptOutcome.NOT_RUN, now);
            rejected++;
            while (mOutputs.mSent.size() == sent && now < DEADLINE) {
                now += Nanos.ofMillis(5);
                mMachine.onTick(now);
            }
            assertThat(mMachine.timedAttemptCount(), is(1));
        }
        mMachine.onAbandoned(1, now);

        assertThat(mMachine.timedAttemptCount(), is(0));
    }

    @Test
    void aBlockedCallIsRefusedAtOnceWithATimeToComeBack() {
        FakeGuard guard = new FakeGuard();
        guard.mAdmission = CallAdmission.BLOCKED;
        mMachine = CallMachine.create(mFleet, FailureDomain.of("a"), Policy.ALL, guard, mOutputs);
        addEndpoints(1, 4);
        mMachine.onCall(call(1, RouteKind.ONCE, false, 0), 0);

        assertThat(mOutputs.mSent.isEmpty(), is(true));
        assertThat(mOutputs.mOutcomes.get(1L), is("refused"));
        assertThat(mOutputs.mRetryAfterMillis.get(1L), is(7_000L));
    }

    private FakeGate limit(String endpoint, int admitted, long waitMillis) {
        FakeGate gate = new FakeGate();
        gate.mAdmitted = admitted;
        gate.mWaitNanos = waitMillis < 0 ? Long.MAX_VALUE : Nanos.ofMillis(waitMillis);
        mFleet.get(endpoint).setGate(gate);
        mFleet.onLimitNotice(
                EndpointFixtures.record(endpoint, 4, 1), LimitNotice.limitedTo(1), 0, 0);
        return gate;
    }

    @ParameterizedTest
    @CsvSource({"-1, refused", "1000, refused", "300,", "0,"})
    void aCallThatLimitsAdmitTooLateIsRefusedAtOnceWithATimeToComeBack(
            long waitMillis, @Nullable String outcome) {
        addEndpoints(1, 4);
        FakeGate gate = limit("e1", 0, waitMillis);
        gate.mPerSecond = 0.5;

        mMachine.onCall(call(1, RouteKind.ONCE, false, 0), 0);

        assertThat(mOutputs.mOutcomes.get(1L), is(outcome));
        assertThat(mOutputs.mRetryAfterMillis.get(1L), is(outcome == null ? null : 2_000L));
        assertThat(mOutputs.mSent.isEmpty(), is(true));
        assertThat(gate.mWaiting, is(1));
    }

    @Test
    void aCallThatWaitedInVainForALimitIsToldWhenThereIsRoom() {
        addEndpoints(1, 4);
        FakeGate gate = limit("e1", 0, 300);
        gate.mPerSecond = 0.5;
        mMachine.onCall(call(1, RouteKind.ONCE, false, 0), 0);
        mMachine.onTick(DEADLINE);

        assertThat(mOutputs.mOutcomes.get(1L), is("refused"));
        assertThat(mOutputs.mRetryAfterMillis.get(1L), is(2_000L));
    }

    @Test
    void aCallGoesToAnotherEndpointWhileALimitAdmitsNone() {
        addEndpoints(2, 4);
        FakeGate gate = limit("e1", 0, -1);

        mMachine.onCall(call(1, RouteKind.ONCE, false, 0), 0);

        assertThat(mOutputs.last().endpoint(), is("e2"));
        assertThat(gate.mWaiting, is(0));
    }

    @Test
    void aHedgedAttemptUsesNoPartOfALimit() {
        addEndpoints(2, 4);
        FakeGate first = limit("e1", 1, -1);
        FakeGate second = limit("e2", 1, -1);

        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onTick(Nanos.ofMillis(400));

        assertThat(mOutputs.mSent.size(), is(1));
        assertThat(first.mAdmitted + second.mAdmitted, is(1));
    }

    @Test
    void anAnswerIsDeliveredOnce() {
        addEndpoints(1, 4);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onAttemptEnd(1, AttemptOutcome.ANSWERED, Nanos.ofMillis(20));
        mMachine.onTick(DEADLINE);

        assertThat(mOutputs.mOutcomes.get(1L), is("delivered 1"));
        assertThat(mOutputs.mOutcomeCounts.get(1L), is(1));
        assertThat(mFleet.get("e1").activeRequests(), is(0));
    }

    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"ONCE", "STREAM"})
    void aNonIdempotentCallThatMayHaveRunIsNotRetried(RouteKind kind) {
        addEndpoints(2, 4);
        mMachine.onCall(call(1, kind, false, 0), 0);
        mMachine.onAttemptEnd(1, AttemptOutcome.LOST, 1);
        mMachine.onTick(Nanos.ofMillis(300));

        assertThat(mOutputs.mSent.size(), is(1));
        assertThat(mOutputs.mOutcomes.get(1L), is("failed"));
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"NOT_RUN", "WRONG_INSTANCE", "UNREACHABLE"})
    void aCallThatDidNotRunIsRetriedAtAnotherEndpoint(AttemptOutcome outcome) {
        addEndpoints(2, 4);
        mMachine.onCall(call(1, RouteKind.ONCE, false, 0), 0);
        String first = mOutputs.last().endpoint();
        mMachine.onAttemptEnd(1, outcome, 1);

        assertThat(mOutputs.mSent.size(), is(2));
        assertThat(mOutputs.last().endpoint(), not(first));
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FAILED", "SERVER_ERROR"})
    void anIdempotentCallIsRetriedUpToTheMaxAttemptsOfItsRoute(AttemptOutcome outcome) {
        addEndpoints(3, 4);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onAttemptEnd(1, outcome, 1);
        mMachine.onAttemptEnd(2, outcome, 2);

        assertThat(mOutputs.mSent.size(), is(MAX_ATTEMPTS));
        assertThat(mOutputs.mOutcomes.get(1L), is("delivered 2"));
    }

    @Test
    void aSlowCallIsHedgedAndItsSlowerAttemptIsCancelled() {
        addEndpoints(2, 4);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onTick(Nanos.ofMillis(74));
        assertThat(mOutputs.mSent.size(), is(1));
        mMachine.onTick(Nanos.ofMillis(76));
        assertThat(mOutputs.mSent.size(), is(2));
        mMachine.onAttemptEnd(2, AttemptOutcome.ANSWERED, Nanos.ofMillis(90));

        assertThat(mOutputs.mOutcomes.get(1L), is("delivered 2"));
        assertThat(mOutputs.mCancelled, contains(1L));
        assertThat(mFleet.get("e1").activeRequests() + mFleet.get("e2").activeRequests(), is(0));
    }

    @Test
    void withoutHedgingASlowCallIsRetriedOnlyAfterItsAttemptHasEnded() {
        mMachine = machine(Policy.ALL.without(Mechanism.HEDGED_CALLS));
        addEndpoints(2, 4);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onTick(Nanos.ofMillis(76));
        assertThat(mOutputs.mSent.size(), is(1));
        mMachine.onAttemptEnd(1, AttemptOutcome.LOST, Nanos.ofMillis(90));

        assertThat(mOutputs.mSent.size(), is(2));
    }

    /** Returns the endpoint that gets a call after e1 has answered slower than e2. */
    private String endpointChosenAfterSlowAnswerOfE1() {
        addEndpoints(1, 4);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onAttemptEnd(1, AttemptOutcome.ANSWERED, Nanos.ofMillis(70));
        addEndpoints(2, 4);
        mMachine.onCall(call(2, RouteKind.IDEMPOTENT, false, 0), Nanos.ofMillis(70));
        mMachine.onAttemptEnd(2, AttemptOutcome.ANSWERED, Nanos.ofMillis(80));
        mMachine.onCall(call(3, RouteKind.IDEMPOTENT, false, 0), Nanos.ofMillis(80));
        return mOutputs.last().endpoint();
    }

    @Test
    void aCallGoesToTheEndpointWithTheLowestExpectedLatency() {
        assertThat(endpointChosenAfterSlowAnswerOfE1(), is("e2"));
    }

    @Test
    void withoutPlacementCallsGoToEndpointsInTurn() {
        mMachine = machine(Policy.ALL.without(Mechanism.CALL_PLACEMENT));

        assertThat(endpointChosenAfterSlowAnswerOfE1(), is("e1"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theOwnDomainIsPreferredUnlessDisabled(boolean preferred) {
        mMachine = machine(preferred ? Policy.ALL : Policy.ALL.without(Mechanism.OWN_DOMAIN));
        mFleet.onRecord(EndpointFixtures.record("e1", 4, 1, "b"));
        mFleet.onRecord(EndpointFixtures.record("e2", 4, 1, "a"));
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);

        assertThat(mOutputs.last().endpoint(), is(preferred ? "e2" : "e1"));
    }

    @ParameterizedTest
    @EnumSource(
            value = Mechanism.class,
            names = {"CALL_PLACEMENT", "OWN_DOMAIN"})
    void backgroundCallsAreLimitedUnderEveryPlacement(Mechanism mechanism) {
        mMachine = machine(Policy.ALL.without(mechanism));
        addEndpoints(1, 4);
        for (long id = 1; id <= 5; id++) {
            mMachine.onCall(call(id, RouteKind.IDEMPOTENT, true, 0), 0);
        }

        assertThat(mOutputs.mSent.size(), is(3));
    }

    @Test
    void withoutBackgroundShareBackgroundCallsUseAllSlots() {
        mMachine = machine(Policy.ALL.without(Mechanism.BACKGROUND_SHARE));
        addEndpoints(1, 4);
        for (long id = 1; id <= 5; id++) {
            mMachine.onCall(call(id, RouteKind.IDEMPOTENT, true, 0), 0);
        }

        assertThat(mOutputs.mSent.size(), is(4));
    }

    @Test
    void aCallToAServiceWithoutEndpointsIsRefusedAtOnce() {
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);

        assertThat(mOutputs.mOutcomes.get(1L), is("refused"));
    }

    @Test
    void backgroundCallsLeaveSlotsForInteractiveCalls() {
        addEndpoints(1, 4);
        for (long id = 1; id <= 4; id++) {
            mMachine.onCall(call(id, RouteKind.IDEMPOTENT, true, 0), 0);
        }
        assertThat(mOutputs.mSent.size(), is(3));
        mMachine.onCall(call(5, RouteKind.IDEMPOTENT, false, 0), 0);

        assertThat(mOutputs.last().call(), is(5L));
    }

    @Test
    void atTheDeadlineASentCallTimesOutAndAnUnsentOneIsRefused() {
        addEndpoints(1, 1);
        mMachine.onCall(call(1, RouteKind.ONCE, false, 0), 0);
        mMachine.onCall(call(2, RouteKind.ONCE, false, 0), 0);
        mMachine.onTick(DEADLINE);

        assertThat(mOutputs.mOutcomes.get(1L), is("timeout"));
        assertThat(mOutputs.mOutcomes.get(2L), is("refused"));
    }

    @Test
    void anAbandonedCallFreesItsEndpoint() {
        addEndpoints(1, 1);
        mMachine.onCall(call(1, RouteKind.IDEMPOTENT, false, 0), 0);
        mMachine.onAbandoned(1, 5);

        assertThat(mOutputs.mCancelled, contains(1L));
        assertThat(mFleet.get("e1").activeRequests(), is(0));
        assertThat(mMachine.callCount(), is(0));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void underRandomFaultsEachCallEndsOnceAndRunsAtMostAsOftenAsAllowed(long seed) {
        Random random = new Random(seed);
        addEndpoints(3, 2);
        Map<Long, RouteKind> kinds = new HashMap<>();
        Map<Long, Set<Long>> runsByCall = new HashMap<>();
        Set<Long> open = new HashSet<>();
        int sentCount = 0;
        long now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += Nanos.ofMillis(random.nextInt(20));
            if (random.nextInt(3) == 0) {
                RouteKind kind = random.nextBoolean() ? RouteKind.ONCE : RouteKind.IDEMPOTENT;
                long id = kinds.size() + 1;
                kinds.put(id, kind);
                mMachine.onCall(call(id, kind, random.nextBoolean(), now), now);
            }
            mMachine.onTick(now);
            for (; sentCount < mOutputs.mSent.size(); sentCount++) {
                open.add(mOutputs.mSent.get(sentCount).attempt());
            }
            open.removeAll(mOutputs.mCancelled);
            for (Long attempt : List.copyOf(open)) {
                if (random.nextInt(3) == 0) {
                    AttemptOutcome[] outcomes = AttemptOutcome.values();
                    AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
                    FakeCallOutputs.Sent sent = mOutputs.mSent.get((int) (attempt - 1));
                    if (outcome.mayHaveRun()) {
                        runsByCall.computeIfAbsent(sent.call(), x -> new HashSet<>()).add(attempt);
                    }
                    open.remove(attempt);
                    mMachine.onAttemptEnd(attempt, outcome, now);
                }
            }
        }
        mMachine.onTick(now + 2 * DEADLINE);

        assertThat(mMachine.callCount(), is(0));
        kinds.forEach(
                (id, kind) -> {
                    assertThat(mOutputs.mOutcomeCounts.get(id), is(1));
                    int maxRuns = kind == RouteKind.ONCE ? 1 : MAX_ATTEMPTS;
                    int runs = runsByCall.getOrDefault(id, Set.of()).size();
                    assertThat(runs, lessThanOrEqualTo(maxRuns));
                    if (mOutputs.mOutcomes.get(id).equals("refused")) {
                        assertThat(runs, is(0));
                    }
                });
        for (int i = 1; i <= 3; i++) {
            assertThat(mFleet.get("e" + i).activeRequests(), is(0));
        }
    }
}
