package org.ebonyrun.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.attempt.WorkKind;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DispatcherTest {
    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final FailureDomain HALL_A = FailureDomain.of("hall-a");
    private static final FailureDomain HALL_B = FailureDomain.of("hall-b");
    private static final VmId NEAR = VmId.of("near");
    private static final VmId FAR = VmId.of("far");
    private static final EndpointLoad FREE = new EndpointLoad(4, 0, 0, 4, 1, false, false, 0);
    private static final EndpointLoad BUSY = new EndpointLoad(4, 4, 3, 0, 1, false, false, 0);

    private final Recorder mOut = new Recorder();
    private final Dispatcher mDispatcher =
            Dispatcher.create(1, LeastLoadChooser.create(HALL_A), mOut);

    /** Records what the dispatcher does. */
    private static final class Recorder implements DispatchOutputs {
        private final List<VmId> mOffered = new ArrayList<>();
        private final List<AttemptId> mIds = new ArrayList<>();
        private final List<Answer> mAnswers = new ArrayList<>();
        private final List<Fault> mFaults = new ArrayList<>();
        private final List<SampleInfo> mSamples = new ArrayList<>();
        private final List<SampleKey> mFound = new ArrayList<>();

        @Override
        public boolean send(VmId vm, AttemptMessage message) {
            if (message instanceof AttemptMessage.Offer offer) {
                mOffered.add(vm);
                mIds.add(offer.id());
            }
            return true;
        }

        @Override
        public void onPiece(Work work, byte[] data) {}

        @Override
        public void onAnswer(Work work, Answer answer) {
            mAnswers.add(answer);
        }

        @Override
        public void onSampleFinished(Work work, VmId vm, SampleInfo info) {
            mSamples.add(info);
        }

        @Override
        public void onUntrackedSampleFinished(VmId vm, SampleKey key, SampleInfo info) {
            mFound.add(key);
        }

        @Override
        public void onFault(Work work, Fault fault) {
            mFaults.add(fault);
        }

        AttemptId lastId() {
            return mIds.get(mIds.size() - 1);
        }
    }

    @BeforeEach
    void endpoints() {
        mDispatcher.setEndpointUsable(NEAR, SERVICE, HALL_A, true, 0);
        mDispatcher.setEndpointUsable(FAR, SERVICE, HALL_B, true, 0);
        mDispatcher.onHeartbeat(NEAR, FREE, 0);
        mDispatcher.onHeartbeat(FAR, FREE, 0);
    }

    @Test
    void prefersItsOwnFailureDomainAmongEquals() {
        submit(1, true);
        submit(2, true);
        assertThat(mOut.mOffered, contains(NEAR, FAR));
    }

    @Test
    void prefersRoomToNearness() {
        mDispatcher.onHeartbeat(NEAR, BUSY, 0);
        submit(1, true);
        assertThat(mOut.mOffered, contains(FAR));
    }

    @Test
    void triesAnotherEndpointAfterARefusal() {
        submit(1, false);
        refuse(NEAR);
        assertThat(mOut.mOffered, contains(NEAR, FAR));
        refuse(FAR);
        assertThat(mOut.mFaults, hasSize(1));
        assertThat(mOut.mFaults.get(0).outcome(), is(Outcome.NOT_RUN));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void sendsAgainAfterALostLinkOnlyIfIdempotent(boolean idempotent) {
        submit(1, idempotent);
        mDispatcher.onLinkLost(NEAR, 1);
        assertThat(mOut.mOffered.size(), is(idempotent ? 2 : 1));
        assertThat(mOut.mFaults.size(), is(idempotent ? 0 : 1));
    }

    @Test
    void neverCallsWorkNotRunThatMayHaveRun() {
        submit(1, true);
        mDispatcher.onLinkLost(NEAR, 1);
        refuse(FAR);
        assertThat(mOut.mFaults.get(0).outcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void anAnswerWithAMissingPieceIsNoAnswer() {
        submit(1, false);
        AttemptId id = mOut.lastId();
        mDispatcher.onMessage(NEAR, new AttemptMessage.Piece(id, 0, new byte[] {1}), 1);
        mDispatcher.onMessage(NEAR, done(id, 2), 2);
        assertThat(mOut.mAnswers, empty());
        assertThat(mOut.mFaults.get(0).code(), is(FaultCode.TRUNCATED));
    }

    @Test
    void dropsMessagesOfClosedAndForeignAttempts() {
        submit(1, true);
        AttemptId id = mOut.lastId();
        mDispatcher.onMessage(FAR, done(id, 0), 1);
        assertThat(mOut.mAnswers, empty());
        mDispatcher.onMessage(NEAR, done(id, 0), 2);
        mDispatcher.onMessage(NEAR, done(id, 0), 3);
        assertThat(mOut.mAnswers, hasSize(1));
        assertThat(mDispatcher.dump().unknownMessages(), is(2L));
    }

    @Test
    void samplesWaitForFreshWeights() {
        SampleKey key = new SampleKey(TrainerId.of("t"), 1, 0);
        mDispatcher.setMinVersion(key.trainer(), 2, 0);
        mDispatcher.submit(work(1, true, key), 0);
        assertThat(mOut.mOffered, empty());
        mDispatcher.onHeartbeat(FAR, new EndpointLoad(4, 0, 0, 4, 2, false, false, 0), 1);
        assertThat(mOut.mOffered, contains(FAR));
        SampleInfo info = new SampleInfo(1, 1, WeightVersions.copyOf(List.of(2L)));
        AttemptId id = mOut.lastId();
        mDispatcher.onMessage(FAR, new AttemptMessage.SampleFinished(id, key, info, FREE), 2);
        mDispatcher.onMessage(FAR, new AttemptMessage.SampleFinished(id, key, info, FREE), 3);
        assertThat(mOut.mSamples, contains(info));
        assertThat(mOut.mFound, contains(key));
    }

    @Test
    void aLeavingEndpointGetsNothing() {
        mDispatcher.onHeartbeat(NEAR, new EndpointLoad(4, 0, 0, 4, 1, false, true, 0), 1);
        submit(1, true);
        assertThat(mOut.mOffered, contains(FAR));
    }

    @Test
    void timesOutWithAnHonestOutcome() {
        submit(1, true);
        mDispatcher.onTick(2_000);
        assertThat(mOut.mFaults.get(0).outcome(), is(Outcome.UNKNOWN));
    }

    private void refuse(VmId vm) {
        Fault fault = Fault.notRun(FaultCode.OVERLOADED, "agent.admit", vm.value(), "full");
        mDispatcher.onMessage(vm, new AttemptMessage.Refused(mOut.lastId(), fault, BUSY), 1);
    }

    private void submit(long id, boolean idempotent) {
        mDispatcher.submit(work(id, idempotent, null), 0);
    }

    private static AttemptMessage.Done done(AttemptId id, int pieces) {
        return new AttemptMessage.Done(id, pieces, 200, "t", 1, WeightVersions.none(), FREE);
    }

    private static Work work(long id, boolean idempotent, @Nullable SampleKey key) {
        return new Work(
                id,
                key == null ? WorkKind.CALL : WorkKind.SAMPLE,
                SERVICE,
                ClassName.of("lookup"),
                0.99,
                0,
                1_000,
                2_000,
                idempotent,
                false,
                "/",
                "t",
                new byte[0],
                0,
                key,
                0);
    }
}
