package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalInt;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Callers' streams share engines with training runs, and go first. */
class StreamCallTest {
    private static final int SLOTS = 4;

    private final Fleet mFleet = Fleet.create();
    private final FakeCallOutputs mOutputs = new FakeCallOutputs();
    private final CallMachine mMachine =
            CallMachine.create(mFleet, FailureDomain.of("a"), Policy.ALL, mOutputs);

    private static CallSpec call(long id, RouteKind kind, boolean background) {
        return new CallSpec(
                id,
                "r" + id,
                EndpointFixtures.route(kind, new CallOptions(10_000, 500, 1, 1), StepOptions.NONE),
                EndpointFixtures.SERVICE,
                0,
                Nanos.ofMillis(10_000),
                background,
                null,
                null);
    }

    private Endpoint addEndpoint() {
        mFleet.onRecord(EndpointFixtures.record("e", SLOTS, 1));
        return mFleet.get("e");
    }

    @ParameterizedTest
    @CsvSource({
        "STREAM, false, 1",
        "RESUMABLE_STREAM, false, 1",
        "RESUMABLE_STREAM, true,",
        "IDEMPOTENT, false,"
    })
    void aCallersStreamHasAHigherPriorityThanTraining(
            RouteKind kind, boolean background, Integer priority) {
        OptionalInt expected = priority == null ? OptionalInt.empty() : OptionalInt.of(priority);

        assertThat(call(1, kind, background).endpointPriority(), is(expected));
    }

    @ParameterizedTest
    @CsvSource({"RESUMABLE_STREAM, 1", "STREAM, 1", "IDEMPOTENT, 0"})
    void trainingRunsOfThisProcessDoNotKeepACallersStreamWaiting(RouteKind kind, int sent) {
        Endpoint endpoint = addEndpoint();
        for (int i = 0; i < SLOTS; i++) {
            endpoint.onSent(0);
        }
        mMachine.onCall(call(1, kind, false), 0);

        assertThat(mOutputs.mSent.size(), is(sent));
    }

    @Test
    void noMoreStreamsThanSlotsRunAtAnEndpoint() {
        addEndpoint();
        for (long id = 1; id <= SLOTS + 2; id++) {
            mMachine.onCall(call(id, RouteKind.STREAM, false), 0);
        }
        assertThat(mOutputs.mSent.size(), is(SLOTS));
        mMachine.onAttemptEnd(1, AttemptOutcome.ANSWERED, Nanos.ofMillis(30));

        assertThat(mOutputs.mSent.size(), is(SLOTS + 1));
    }

    @ParameterizedTest
    @CsvSource({"STREAM, true, 20", "IDEMPOTENT, false, 60"})
    void theDurationOfAStreamIsNotTakenForTheTimeBetweenItsEvents(
            RouteKind kind, boolean streams, long latencyMillis) {
        Endpoint endpoint = addEndpoint();
        endpoint.recordLatency(Nanos.ofMillis(20), 0);
        mMachine.onCall(call(1, kind, false), 0);
        if (streams) {
            mMachine.onStreaming(1, Nanos.ofMillis(10));
        }
        mMachine.onAttemptEnd(1, AttemptOutcome.ANSWERED, Nanos.ofMillis(220));

        assertThat(endpoint.latencyNanos() <= Nanos.ofMillis(latencyMillis), is(true));
    }

    private static CallSpec resumable(long id, int maxAttempts) {
        return new CallSpec(
                id,
                "r" + id,
                EndpointFixtures.route(
                        RouteKind.RESUMABLE_STREAM,
                        new CallOptions(10_000, 500, maxAttempts, 1),
                        StepOptions.NONE),
                EndpointFixtures.SERVICE,
                0,
                Nanos.ofMillis(10_000),
                false,
                null,
                null);
    }

    private void addTwoOfEachVersion() {
        for (String id : new String[] {"a1", "a2", "b1", "b2"}) {
            mFleet.onRecord(EndpointFixtures.recordWithSoftware(id, SLOTS, 1, id.substring(0, 1)));
        }
    }

    @ParameterizedTest
    @CsvSource({"1, true, 1", "2, true, 2", "2, false, 1", "3, true, 3"})
    void aBrokenStreamGoesOnAtItsVersionAtAsManyEndpointsAsItsRouteAllows(
            int maxAttempts, boolean canGoOn, int sent) {
        addTwoOfEachVersion();
        mOutputs.mCanGoOn = canGoOn;
        mMachine.onCall(resumable(1, maxAttempts), 0);
        for (int i = 1; i <= mOutputs.mSent.size(); i++) {
            long attempt = mOutputs.mSent.get(i - 1).attempt();
            mMachine.onStreaming(attempt, Nanos.ofMillis(i));
            mMachine.onTick(Nanos.ofMillis(600 * i));
            mMachine.onAttemptEnd(attempt, AttemptOutcome.LOST, Nanos.ofMillis(600 * i));
            mMachine.onTick(Nanos.ofMillis(600 * i + 30));
        }

        assertThat(mOutputs.mSent.size(), is(sent));
        assertThat(mOutputs.mOutcomes.get(1L), is("failed"));
        long versions = mOutputs.mSent.stream().map(s -> s.endpoint().charAt(0)).distinct().count();
        assertThat(versions, is(1L));
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {
                "NOT_RUN",
                "UNREACHABLE",
                "WRONG_INSTANCE",
                "FAILED",
                "SERVER_ERROR",
                "LOST",
                "UNUSABLE"
            })
    void aStreamThatCanNotGoOnFailsAndIsNeverRefusedOrAnsweredAnew(AttemptOutcome outcome) {
        addTwoOfEachVersion();
        mMachine.onCall(resumable(1, 2), 0);
        mMachine.onStreaming(1, 0);
        mMachine.onAttemptEnd(1, AttemptOutcome.LOST, 0);
        for (int i = 2; i <= mOutputs.mSent.size() && i < 200; i++) {
            mMachine.onAttemptEnd(i, outcome, Nanos.ofMillis(40 * i));
            mMachine.onTick(Nanos.ofMillis(40 * i + 30));
        }
        mMachine.onTick(Nanos.ofMillis(10_000));

        assertThat(mOutputs.mOutcomes.get(1L), is("failed"));
        assertThat(mMachine.callCount(), is(0));
    }
}
