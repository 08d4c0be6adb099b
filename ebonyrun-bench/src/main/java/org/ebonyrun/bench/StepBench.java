package org.ebonyrun.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.config.ClassKind;
import org.ebonyrun.core.config.ClassSpec;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseRecord;
import org.ebonyrun.core.rollout.PromptGroup;
import org.ebonyrun.core.rollout.RolloutMachine;
import org.ebonyrun.core.rollout.RolloutOutputs;
import org.ebonyrun.core.rollout.StepManifest;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.core.rollout.StragglerPolicy;
import org.ebonyrun.core.routing.Work;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** The owner's processing time for a step, from submission to the last acknowledgement. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
public class StepBench {
    private static final TrainerId TRAINER = TrainerId.of("trainer");
    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final ClassName CLASS = ClassName.of("rollout");
    private static final VmId VM = VmId.of("vm");
    private static final LeaseHolder SELF = new LeaseHolder(VmId.of("entry"), 1, "10.0.0.1", 1);
    private static final SampleInfo INFO = new SampleInfo(8, 8, WeightVersions.copyOf(List.of(1L)));
    private static final int PULL_SAMPLES = 64;
    private static final int GROUP_SIZE = 16;
    private static final long TICK_NANOS = 20_000_000;

    /** Number of samples of the step. */
    @Param({"256", "1024", "4096"})
    public int mSlots;

    /** Queues responses of the store and of agents as events until {@link #drain} runs them. */
    private static final class EventQueue implements RolloutOutputs {
        private final Queue<Runnable> mEvents = new ArrayDeque<>();
        private final List<Work> mSubmitted = new ArrayList<>();
        private RolloutMachine mMachine;
        private StepReply mReply;
        private long mLastWorkId;
        private long mNow;

        void drain() {
            while (!mEvents.isEmpty()) {
                mEvents.remove().run();
            }
        }

        @Override
        public void acquire(String key) {
            mEvents.add(() -> mMachine.onLeaseRecord(key, new LeaseRecord(SELF, 1), mNow));
        }

        @Override
        public void renew(String key, long revision) {
            mEvents.add(() -> mMachine.onLeaseRenewed(key, true, mNow));
        }

        @Override
        public void storeManifest(StepManifest manifest) {
            mEvents.add(() -> mMachine.onManifestStored(manifest, Optional.empty(), mNow));
        }

        @Override
        public void loadManifest(TrainerId trainer, long step) {
            mEvents.add(
                    () -> mMachine.onManifestLoaded(trainer, step, null, Optional.empty(), mNow));
        }

        @Override
        public void deleteManifest(TrainerId trainer, long step, int slots) {}

        @Override
        public void submit(Work work) {
            mSubmitted.add(work);
        }

        @Override
        public void cancel(long workId) {}

        @Override
        public void detach(long workId) {}

        @Override
        public void setMinVersion(TrainerId trainer, long version) {}

        @Override
        public boolean send(VmId vm, AttemptMessage message) {
            if (message instanceof AttemptMessage.FetchSample fetch) {
                mEvents.add(
                        () ->
                                mMachine.onMessage(
                                        vm,
                                        new AttemptMessage.SampleContent(
                                                fetch.key(), new byte[8], INFO),
                                        mNow));
            }
            return true;
        }

        @Override
        public void broadcast(ServiceName service, AttemptMessage message) {}

        @Override
        public void startScoring(ServiceName scorer, SampleKey key, byte[] content) {}

        @Override
        public void forward(LeaseHolder owner, long requestId, StepRequest request) {}

        @Override
        public void reply(long requestId, StepReply reply) {
            mReply = reply;
        }

        @Override
        public void recordTrainerIdleTime(TrainerId trainer, long nanos) {}

        @Override
        public void recordDeliveredSample(TrainerId trainer, long age) {}

        @Override
        public long nextWorkId() {
            return ++mLastWorkId;
        }
    }

    /**
     * Runs a step: submits it, finishes all samples, and pulls 64 samples at a time until complete.
     */
    @Benchmark
    public int step() {
        EventQueue queue = submitStep();
        for (Work work : List.copyOf(queue.mSubmitted)) {
            queue.mMachine.onSampleFinished(VM, sampleKey(work), INFO, queue.mNow);
        }
        String cursor = "";
        int pulls = 0;
        boolean complete = false;
        while (!complete) {
            queue.mMachine.onRequest(
                    ++pulls,
                    new StepRequest.Pull(TRAINER, 1, cursor, 1, PULL_SAMPLES, 1_000),
                    false,
                    queue.mNow);
            queue.drain();
            cursor = queue.mReply.cursor();
            complete = queue.mReply.complete();
        }
        return pulls;
    }

    /** Submits a step and runs the ticks of one second (50 ticks of 20 ms). */
    @Benchmark
    public long ticksOfOneSecond() {
        EventQueue queue = submitStep();
        for (int i = 0; i < 50; i++) {
            queue.mNow += TICK_NANOS;
            queue.mMachine.onTick(queue.mNow);
        }
        return queue.mNow;
    }

    private EventQueue submitStep() {
        EventQueue queue = new EventQueue();
        queue.mMachine =
                RolloutMachine.create(
                        SELF, group -> new byte[0], StragglerPolicy.hedgeTail(), queue);
        ClassSpec spec =
                new ClassSpec(CLASS, SERVICE, ClassKind.ROLLOUT, 0, 0, true, 2, 5_000, null);
        queue.mMachine.onConfig(new OperatorConfig(1, Map.of(), Map.of(CLASS, spec)));
        List<PromptGroup> groups = new ArrayList<>();
        for (int i = 0; i < mSlots / GROUP_SIZE; i++) {
            groups.add(new PromptGroup("prompt " + i, GROUP_SIZE, 8));
        }
        StepManifest manifest = new StepManifest(TRAINER, 1, CLASS, 1, groups);
        queue.mMachine.onRequest(0, new StepRequest.Submit(manifest), false, queue.mNow);
        queue.drain();
        return queue;
    }

    private static SampleKey sampleKey(Work work) {
        SampleKey key = work.sample();
        if (key == null) {
            throw new IllegalStateException("work without a sample: " + work.id());
        }
        return key;
    }
}
