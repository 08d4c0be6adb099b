package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls whose keys are withdrawn, and the priorities of workspaces, in virtual time. */
class WithdrawnKeyTest {
    private static final long DEADLINE = Nanos.ofMillis(800);
    private static final long HEDGE_AT = Nanos.ofMillis(100);

    private final Fleet mFleet = Fleet.create();
    private final FakeCallOutputs mOutputs = new FakeCallOutputs();
    private final CallMachine mMachine =
            CallMachine.create(mFleet, FailureDomain.of("a"), Policy.ALL, mOutputs);

    private void addEndpoints(int count, int slots) {
        for (int i = 1; i <= count; i++) {
            mFleet.onRecord(EndpointFixtures.record("e" + i, slots, 1));
        }
    }

    private CallSpec start(long id, RouteKind kind, int priority) {
        CallSpec call =
                new CallSpec(
                        id,
                        "r" + id,
                        EndpointFixtures.route(
                                kind, new CallOptions(800, 150, 3, priority), StepOptions.NONE),
                        EndpointFixtures.SERVICE,
                        0,
                        DEADLINE,
                        false,
                        null,
                        WorkspaceName.of("w"));
        mMachine.onCall(call, 0);
        return call;
    }

    @Test
    void queuedCallIsRefusedAndTheOthersGoOn() {
        addEndpoints(1, 1);
        start(1, RouteKind.ONCE, 1);
        start(2, RouteKind.ONCE, 1);
        start(3, RouteKind.ONCE, 1);
        mMachine.onKeysWithdrawn(List.of(2L), 0);
        mMachine.onAttemptEnd(mOutputs.last().attempt(), AttemptOutcome.ANSWERED, HEDGE_AT);

        assertThat(mOutputs.mOutcomes.get(2L), is("key refused"));
        assertThat(mOutputs.last().call(), is(3L));
        assertThat(mMachine.callCount(), is(1));
    }

    @Test
    void callsThatWaitForTheNextTryAreRefusedTogether() {
        addEndpoints(1, 4);
        start(1, RouteKind.ONCE, 1);
        mMachine.onAttemptEnd(1, AttemptOutcome.NOT_RUN, 1);
        start(2, RouteKind.ONCE, 1);
        mMachine.onAttemptEnd(2, AttemptOutcome.NOT_RUN, 2);
        int sent = mOutputs.mSent.size();
        mMachine.onKeysWithdrawn(List.of(1L, 2L), HEDGE_AT);

        assertThat(mOutputs.mOutcomes, is(Map.of(1L, "key refused", 2L, "key refused")));
        assertThat(mOutputs.mSent.size(), is(sent));
        assertThat(mMachine.callCount(), is(0));
    }

    @ParameterizedTest
    @CsvSource({
        "ANSWERED, delivered 1",
        "FAILED, delivered 1",
        "SERVER_ERROR, delivered 1",
        "LOST, failed",
        "NOT_RUN, key refused",
        "UNREACHABLE, key refused",
        "WRONG_INSTANCE, key refused"
    })
    void callAtAnEndpointFinishesThereAndNowhereElse(AttemptOutcome end, String outcome) {
        addEndpoints(2, 4);
        start(1, RouteKind.IDEMPOTENT, 1);
        mMachine.onKeysWithdrawn(List.of(1L), 0);
        assertThat(mOutputs.mOutcomes.get(1L), is(nullValue()));
        mMachine.onTick(HEDGE_AT);
        mMachine.onAttemptEnd(1, end, HEDGE_AT);
        mMachine.onTick(HEDGE_AT + Nanos.ofMillis(50));

        assertThat(mOutputs.mOutcomes.get(1L), is(outcome));
        assertThat(mOutputs.mOutcomeCounts.get(1L), is(1));
        assertThat(mOutputs.mSent.size(), is(1));
    }

    @Test
    void callBetweenTwoTriesThatMayHaveRunFails() {
        addEndpoints(1, 4);
        start(1, RouteKind.IDEMPOTENT, 1);
        mMachine.onAttemptEnd(1, AttemptOutcome.LOST, 1);
        int sent = mOutputs.mSent.size();
        mMachine.onKeysWithdrawn(List.of(1L), 1);
        mMachine.onTick(HEDGE_AT);

        assertThat(mOutputs.mOutcomes.get(1L), is("failed"));
        assertThat(mOutputs.mSent.size(), is(sent));
    }

    @Test
    void callWhoseKeyIsRestoredWhileAnEndpointHasItGoesOn() {
        addEndpoints(2, 4);
        start(1, RouteKind.ONCE, 1);
        mMachine.onKeysWithdrawn(List.of(1L), 1);
        mMachine.onKeysWithdrawn(List.of(), 2);
        mMachine.onAttemptEnd(1, AttemptOutcome.NOT_RUN, 3);

        assertThat(mOutputs.mOutcomes.get(1L), is(nullValue()));
        assertThat(mOutputs.mSent.size(), is(2));
        mMachine.onAttemptEnd(2, AttemptOutcome.ANSWERED, 4);
        assertThat(mOutputs.mOutcomes.get(1L), is("delivered 2"));
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void streamThatBreaksIsNotTakenUpElsewhere(boolean beforeTheBreak) {
        addEndpoints(beforeTheBreak ? 2 : 1, 4);
        start(1, RouteKind.RESUMABLE_STREAM, 1);
        mMachine.onStreaming(1, 1);
        if (beforeTheBreak) {
            mMachine.onKeysWithdrawn(List.of(1L), 2);
            mMachine.onAttemptEnd(1, AttemptOutcome.LOST, 3);
        } else {
            mMachine.onAttemptEnd(1, AttemptOutcome.LOST, 2);
            mMachine.onKeysWithdrawn(List.of(1L), 3);
        }
        mMachine.onTick(HEDGE_AT);

        assertThat(mOutputs.mOutcomes.get(1L), is("failed"));
        assertThat(mOutputs.mSent.size(), is(1));
    }

    @Test
    void callsOfAWorkspaceOfHigherPriorityGoFirst() {
        addEndpoints(1, 1);
        start(1, RouteKind.ONCE, 1);
        start(2, RouteKind.ONCE, 1);
        CallSpec urgent = start(3, RouteKind.ONCE, 0);
        mMachine.onAttemptEnd(mOutputs.last().attempt(), AttemptOutcome.ANSWERED, HEDGE_AT);

        assertThat(urgent.priority(), is(0));
        assertThat(mOutputs.last().call(), is(3L));
    }
}
