package org.ebonyrun.bench;

import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.core.routing.DispatchOutputs;
import org.ebonyrun.core.routing.Dispatcher;
import org.ebonyrun.core.routing.LeastLoadChooser;
import org.ebonyrun.core.routing.Work;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time to dispatch and complete one call, by the number of connected endpoints. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DispatchBench {
    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final EndpointLoad LOAD = new EndpointLoad(8, 0, 0, 8, 1, false, false, 0);

    /** Number of endpoints of the service to which the entry is connected. */
    @Param({"16", "64", "256", "1024"})
    public int mEndpoints;

    private final LastOffer mLastOffer = new LastOffer();
    private Dispatcher mDispatcher;
    private long mLastWorkId;

    /** Records the target and attempt of the last offer. */
    private static final class LastOffer implements DispatchOutputs {
        private VmId mVm;
        private AttemptId mId;

        @Override
        public boolean send(VmId vm, AttemptMessage message) {
            if (message instanceof AttemptMessage.Offer offer) {
                mVm = vm;
                mId = offer.id();
            }
            return true;
        }

        @Override
        public void onPiece(Work work, byte[] data) {}

        @Override
        public void onAnswer(Work work, Answer answer) {}

        @Override
        public void onSampleFinished(Work work, VmId vm, SampleInfo info) {}

        @Override
        public void onUntrackedSampleFinished(VmId vm, SampleKey key, SampleInfo info) {}

        @Override
        public void onFault(Work work, Fault fault) {}
    }

    /** Registers the endpoints with the dispatcher. */
    @Setup
    public void setUp() {
        FailureDomain domain = FailureDomain.of("hall-a");
        mDispatcher = Dispatcher.create(1, LeastLoadChooser.create(domain), mLastOffer);
        for (int i = 0; i < mEndpoints; i++) {
            VmId vm = VmId.of("vm-" + i);
            mDispatcher.setEndpointUsable(vm, SERVICE, domain, true, 0);
            mDispatcher.onHeartbeat(vm, LOAD, 0);
        }
    }

    /** Submits a call, and handles its one piece and its end. */
    @Benchmark
    public void call() {
        mDispatcher.submit(newWork(), 0);
        AttemptId id = mLastOffer.mId;
        VmId vm = mLastOffer.mVm;
        mDispatcher.onMessage(vm, new AttemptMessage.Piece(id, 0, new byte[64]), 1);
        mDispatcher.onMessage(
                vm, new AttemptMessage.Done(id, 1, 200, "t", 16, WeightVersions.none(), LOAD), 2);
    }

    private Work newWork() {
        return new Work(
                ++mLastWorkId,
                WorkKind.CALL,
                SERVICE,
                ClassName.of("lookup"),
                0.99,
                0,
                1_000,
                Long.MAX_VALUE,
                true,
                false,
                "/",
                "t",
                new byte[256],
                mLastWorkId,
                null,
                0);
    }
}
