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

    private final RecordingOutputs mOutputs = new RecordingOutputs();
    private final Dispatcher mDispatcher =
            Dispatcher.create(1, LeastLoadChooser.create(HALL_A), mOutputs);

    /** Records the outputs of the dispatcher. */
    private static final class RecordingOutputs implements DispatchOutputs {
        private final List<VmId> mOfferedVms = new ArrayList<>();
        private final List<AttemptId> mOfferedIds = new ArrayList<>();
        private final List<Answer> mAnswers = new ArrayList<>();
        private final List<Fault> mFaults = new ArrayList<>();
        private final List<SampleInfo> mFinishedSamples = new ArrayList<>();
        private final List<SampleKey> mUntrackedSamples = new ArrayList<>();

        @Override
        public boolean send(VmId vm, AttemptMessage message) {
            if (message instanceof AttemptMessage.Offer offer) {
                mOfferedVms.add(vm);
                mOfferedIds.add(offer.id());
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
            mFinishedSamples.add(info);
        }

        @Override
        public void onUntrackedSampleFinished(VmId vm, SampleKey key, SampleInfo info) {
            mUntrackedSamples.add(key);
        }

        @Override
        public void onFault(Work work, Fault fault) {
            mFaults.add(fault);
        }

        AttemptId lastId() {
            return mOfferedIds.get(mOfferedIds.size() - 1);
        }
    }

    @BeforeEach
    void addEndpoints() {
        mDispatcher.setEndpointUsable(NEAR, SERVICE, HALL_A, true, 0);
        mDispatcher.setEndpointUsable(FAR, SERVICE, HALL_B, true, 0);
        mDispatcher.onHeartbeat(NEAR, FREE, 0);
        mDispatcher.onHeartbeat(FAR, FREE, 0);
    }

    @Test
    void prefersOwnFailureDomainAtEqualLoad() {
        submit(1, true);
        submit(2, true);
        assertThat(mOutputs.mOfferedVms, contains(NEAR, FAR));
    }

    @Test
    void prefersFreeSlotsToOwnFailureDomain() {
        mDispatcher.onHeartbeat(NEAR, BUSY, 0);
        submit(1, true);
        assertThat(mOutputs.mOfferedVms, contains(FAR));
    }

    @Test
    void triesAnotherEndpointAfterRefusal() {
        submit(1, false);
        refuse(NEAR);
        assertThat(mOutputs.mOfferedVms, contains(NEAR, FAR));
        refuse(FAR);
        assertThat(mOutputs.mFaults, hasSize(1));
        assertThat(mOutputs.mFaults.get(0).outcome(), is(Outcome.NOT_RUN));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void retriesAfterLostLinkOnlyIfIdempotent(boolean idempotent) {
        submit(1, idempotent);
        mDispatcher.onLinkLost(NEAR, 1);
        assertThat(mOutputs.mOfferedVms.size(), is(idempotent ? 2 : 1));
        assertThat(mOutputs.mFaults.size(), is(idempotent ? 0 : 1));
    }

    @Test
    void reportsUnknownOutcomeIfEarlierAttemptMayHaveRun() {
        submit(1, true);
        mDispatcher.onLinkLost(NEAR, 1);
        refuse(FAR);
        assertThat(mOutputs.mFaults.get(0).outcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void rejectsResponseWithMissingPiece() {
        submit(1, false);
        AttemptId id = mOutputs.lastId();
        mDispatcher.onMessage(NEAR, new AttemptMessage.Piece(id, 0, new byte[] {1}), 1);
        mDispatcher.onMessage(NEAR, done(id, 2), 2);
        assertThat(mOutputs.mAnswers, empty());
        assertThat(mOutputs.mFaults.get(0).code(), is(FaultCode.TRUNCATED));
    }

    @Test
    void dropsMessagesOfClosedAndUnknownAttempts() {
        submit(1, true);
        AttemptId id = mOutputs.lastId();
        mDispatcher.onMessage(FAR, done(id, 0), 1);
        assertThat(mOutputs.mAnswers, empty());
        mDispatcher.onMessage(NEAR, done(id, 0), 2);
        mDispatcher.onMessage(NEAR, done(id, 0), 3);
        assertThat(mOutputs.mAnswers, hasSize(1));
        assertThat(mDispatcher.dump().unknownMessages(), is(2L));
    }

    @Test
    void placesSampleOnlyOnEndpointWithRequiredVersion() {
        SampleKey key = new SampleKey(TrainerId.of("t"), 1, 0);
        mDispatcher.setMinVersion(key.trainer(), 2, 0);
        mDispatcher.submit(work(1, true, key), 0);
        assertThat(mOutputs.mOfferedVms, empty());
        mDispatcher.onHeartbeat(FAR, new EndpointLoad(4, 0, 0, 4, 2, false, false, 0), 1);
        assertThat(mOutputs.mOfferedVms, contains(FAR));
        SampleInfo info = new SampleInfo(1, 1, WeightVersions.copyOf(List.of(2L)));
        AttemptId id = mOutputs.lastId();
        mDispatcher.onMessage(FAR, new AttemptMessage.SampleFinished(id, key, info, FREE), 2);
        mDispatcher.onMessage(FAR, new AttemptMessage.SampleFinished(id, key, info, FREE), 3);
        assertThat(mOutputs.mFinishedSamples, contains(info));
        assertThat(mOutputs.mUntrackedSamples, contains(key));
    }

    @Test
    void sendsNothingToDrainingEndpoint() {
        mDispatcher.onHeartbeat(NEAR, new EndpointLoad(4, 0, 0, 4, 1, false, true, 0), 1);
        submit(1, true);
        assertThat(mOutputs.mOfferedVms, contains(FAR));
    }

    @Test
    void reportsUnknownOutcomeOnTimeoutOfOpenAttempt() {
        submit(1, true);
        mDispatcher.onTick(2_000);
        assertThat(mOutputs.mFaults.get(0).outcome(), is(Outcome.UNKNOWN));
    }

    private void refuse(VmId vm) {
        Fault fault = Fault.notRun(FaultCode.OVERLOADED, "agent.admit", vm.value(), "full");
        mDispatcher.onMessage(vm, new AttemptMessage.Refused(mOutputs.lastId(), fault, BUSY), 1);
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
