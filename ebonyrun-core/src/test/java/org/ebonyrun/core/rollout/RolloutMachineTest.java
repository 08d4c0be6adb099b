package org.ebonyrun.core.rollout;

import static java.util.Objects.requireNonNull;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.config.ClassKind;
import org.ebonyrun.core.config.ClassSpec;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RolloutMachineTest {
    private static final TrainerId TRAINER = TrainerId.of("trainer");
    private static final ClassName CLASS = ClassName.of("rollout");
    private static final VmId VM = VmId.of("vm-1");
    private static final VmId OTHER_VM = VmId.of("vm-2");
    private static final String KEY = "owner/trainer";
    private static final LeaseHolder SELF = new LeaseHolder(VmId.of("a"), 1, "10.0.0.1", 1);
    private static final LeaseHolder OTHER = new LeaseHolder(VmId.of("b"), 2, "10.0.0.2", 1);
    private static final long MAX_STALENESS = 2;

    private final FakeRolloutOutputs mOutputs = new FakeRolloutOutputs();
    private final RolloutMachine mMachine =
            RolloutMachine.create(
                    SELF, group -> new byte[0], StragglerPolicy.hedgeTail(), mOutputs);
    private long mLastRequestId;

    @BeforeEach
    void configure() {
        ClassSpec spec =
                new ClassSpec(
                        CLASS,
                        ServiceName.of("models"),
                        ClassKind.ROLLOUT,
                        0,
                        0,
                        true,
                        MAX_STALENESS,
                        5_000,
                        null);
        mMachine.onConfig(new OperatorConfig(1, Map.of(), Map.of(CLASS, spec)));
    }

    @Test
    void acceptsStepOnlyAfterItsManifestIsStored() {
        long request = submit("p");
        acquireLease();
        mMachine.onManifestLoaded(TRAINER, 1, null, Optional.empty(), 0);
        assertThat(mOutputs.mStoreRequests, hasItem("store 1"));
        assertThat(mOutputs.mReplies.get(request) == null, is(true));
        mMachine.onManifestStored(manifest("p"), Optional.empty(), 0);
        assertThat(requireNonNull(mOutputs.mReplies.get(request)).fault() == null, is(true));
        assertThat(mOutputs.mSubmittedWork, hasSize(2));
    }

    @Test
    void acceptsRepeatedSubmissionAndRefusesDifferentOne() {
        startStep();
        long same = submit("p");
        long different = submit("q");
        assertThat(reply(same).fault() == null, is(true));
        assertThat(requireNonNull(reply(different).fault()).code(), is(FaultCode.CONFLICT));
        assertThat(mOutputs.mSubmittedWork, hasSize(2));
    }

    @Test
    void deliversSamplesAgainUntilTheirCursorIsReceived() {
        startStep();
        finish(VM, 0, 5);
        StepReply first = pull("", 5);
        StepReply again = pull("", 5);
        assertThat(again.samples(), is(first.samples()));
        finish(VM, 1, 5);
        StepReply second = pull(first.cursor(), 5);
        assertThat(second.samples(), hasSize(1));
        assertThat(second.samples().get(0).slot(), is(1));
        assertThat(pull(second.cursor(), 5).complete(), is(true));
        assertThat(mOutputs.mReleasedSamples, contains(key(0), key(1)));
    }

    @Test
    void releasesNoSampleBeforeItsCursorIsReceived() {
        startStep();
        finish(VM, 0, 5);
        pull("", 5);
        assertThat(mOutputs.mReleasedSamples, empty());
    }

    @Test
    void runsStaleSampleAgain() {
        startStep();
        finish(VM, 0, 5);
        long request = openPull("", 5 + MAX_STALENESS + 1, 0);
        assertThat(mOutputs.mReplies.get(request) == null, is(true));
        assertThat(mOutputs.mReleasedSamples, contains(key(0)));
        assertThat(mOutputs.mSubmittedWork, hasSize(3));
    }

    @Test
    void refusesSecondPullWhileOneIsPending() {
        startStep();
        openPull("", 5, 0);
        long second = openPull("", 5, 0);
        assertThat(requireNonNull(reply(second).fault()).code(), is(FaultCode.CONFLICT));
    }

    @Test
    void repliesWithoutSamplesAfterWaitTimeOfPull() {
        startStep();
        long request = openPull("", 5, 0);
        mMachine.onTick(Nanos.ofMillis(999));
        assertThat(mOutputs.mReplies.get(request) == null, is(true));
        mMachine.onTick(Nanos.ofMillis(1_000));
        assertThat(reply(request).samples(), empty());
        assertThat(reply(request).remaining(), is(2));
    }

    @Test
    void keepsFirstFinishedAttemptOfSlot() {
        startStep();
        finish(VM, 0, 5);
        finish(OTHER_VM, 0, 5);
        assertThat(mOutputs.mReleasedSamples, contains(key(0)));
        assertThat(mOutputs.mCancelledWork, contains(mOutputs.mSubmittedWork.get(0).id()));
    }

    @Test
    void newOwnerKeepsHeldSamplesAndRunsOtherSlots() {
        takeOver();
        reportHeld(VM, List.of(0), List.of());
        mMachine.onTick(Nanos.ofMillis(600));
        assertThat(mOutputs.mSubmittedWork, hasSize(1));
        assertThat(requireNonNull(mOutputs.mSubmittedWork.get(0).sample()).slot(), is(1));
    }

    @Test
    void runsSlotsOfLostAgentAgainAfterReconnectTimeout() {
        takeOver();
        reportHeld(VM, List.of(0), List.of(1));
        mMachine.onTick(Nanos.ofMillis(60_000));
        assertThat(mOutputs.mSubmittedWork, empty());
        mMachine.onAgentLost(VM, Nanos.ofMillis(60_000));
        mMachine.onTick(Nanos.ofMillis(62_999));
        assertThat(mOutputs.mSubmittedWork, empty());
        mMachine.onTick(Nanos.ofMillis(63_000));
        assertThat(mOutputs.mSubmittedWork, hasSize(2));
    }

    @Test
    void forwardsRequestToOwnerOnlyOnce() {
        submit("p");
        mMachine.onLeaseRecord(KEY, new LeaseRecord(OTHER, 4), 0);
        assertThat(mOutputs.mForwardedTo, contains(OTHER.vm()));
        mMachine.onRequest(99, new StepRequest.Cancel(TRAINER, 1), true, 0);
        assertThat(requireNonNull(reply(99).fault()).code(), is(FaultCode.OWNER_UNAVAILABLE));
    }

    @Test
    void replacedOwnerDropsItsSteps() {
        startStep();
        long request = openPull("", 5, 0);
        mMachine.onLeaseRenewed(KEY, false, 1);
        mMachine.onLeaseRecord(KEY, new LeaseRecord(OTHER, 4), 2);
        assertThat(requireNonNull(reply(request).fault()).code(), is(FaultCode.OWNER_UNAVAILABLE));
        assertThat(mMachine.dump(3), empty());
    }

    @Test
    void repliesToCompleteCursorAfterStepEnded() {
        startStep();
        finish(VM, 0, 5);
        finish(VM, 1, 5);
        String cursor = pull(pull("", 5).cursor(), 5).cursor();
        assertThat(pull(cursor, 5).complete(), is(true));
        assertThat(pull(cursor, 5).complete(), is(true));
    }

    private void startStep() {
        submit("p");
        acquireLease();
        mMachine.onManifestLoaded(TRAINER, 1, null, Optional.empty(), 0);
        mMachine.onManifestStored(manifest("p"), Optional.empty(), 0);
        mOutputs.mReplies.clear();
    }

    private void takeOver() {
        openPull("", 5, 0);
        acquireLease();
        mMachine.onManifestLoaded(TRAINER, 1, manifest("p"), Optional.empty(), 0);
        assertThat(mOutputs.mBroadcasts, contains(new AttemptMessage.HeldQuery(TRAINER, 1, 3)));
    }

    private void acquireLease() {
        mMachine.onLeaseRecord(KEY, new LeaseRecord(SELF, 3), 0);
    }

    private long submit(String prompt) {
        mMachine.onRequest(++mLastRequestId, new StepRequest.Submit(manifest(prompt)), false, 0);
        return mLastRequestId;
    }

    private long openPull(String cursor, long version, long now) {
        StepRequest pull = new StepRequest.Pull(TRAINER, 1, cursor, version, 64, 1_000);
        mMachine.onRequest(++mLastRequestId, pull, false, now);
        return mLastRequestId;
    }

    /** Pulls, responds to the fetches that the pull causes, and returns the reply. */
    private StepReply pull(String cursor, long version) {
        mOutputs.mFetches.clear();
        long request = openPull(cursor, version, 0);
        for (SampleKey key : List.copyOf(mOutputs.mFetches)) {
            byte[] content = {(byte) ('a' + key.slot())};
            AttemptMessage message = new AttemptMessage.SampleContent(key, content, info(5));
            mMachine.onMessage(VM, message, 0);
        }
        return reply(request);
    }

    private void finish(VmId vm, int slot, long version) {
        mMachine.onSampleFinished(vm, key(slot), info(version), 0);
    }

    private void reportHeld(VmId vm, List<Integer> held, List<Integer> running) {
        List<AttemptMessage.HeldSample> samples =
                held.stream()
                        .map(slot -> new AttemptMessage.HeldSample(key(slot), info(5)))
                        .toList();
        List<SampleKey> keys = running.stream().map(RolloutMachineTest::key).toList();
        mMachine.onMessage(vm, new AttemptMessage.HeldSamples(TRAINER, 1, samples, keys), 0);
    }

    private StepReply reply(long request) {
        return requireNonNull(mOutputs.mReplies.get(request));
    }

    private static SampleInfo info(long version) {
        return new SampleInfo(1, 1, WeightVersions.copyOf(List.of(version)));
    }

    private static SampleKey key(int slot) {
        return new SampleKey(TRAINER, 1, slot);
    }

    private static StepManifest manifest(String prompt) {
        return new StepManifest(TRAINER, 1, CLASS, 5, List.of(new PromptGroup(prompt, 2, 8)));
    }
}
