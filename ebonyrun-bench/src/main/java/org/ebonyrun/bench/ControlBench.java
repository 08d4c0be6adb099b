package org.ebonyrun.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseRecord;
import org.ebonyrun.core.membership.MembershipMachine;
import org.ebonyrun.core.membership.MembershipOutputs;
import org.ebonyrun.core.membership.Peer;
import org.ebonyrun.core.weights.PlannerOutputs;
import org.ebonyrun.core.weights.WeightMessage;
import org.ebonyrun.core.weights.WeightPlanner;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time of control-plane work, by the size of the fleet. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ControlBench {
    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final int ENTRIES_PER_ENDPOINT = 4;

    /** Number of VMs in the platform's list. */
    @Param({"400", "1600", "6600"})
    public int mFleet;

    private final List<Peer> mPeers = new ArrayList<>();
    private MembershipMachine mMembership;
    private WeightPlanner mPlanner;
    private long mVersion = 1;

    /** Creates the fleet, and a planner that holds the lease and sees every endpoint. */
    @Setup
    public void setUp() {
        for (int i = 0; i < mFleet; i++) {
            FailureDomain domain = FailureDomain.of("hall-" + i % 8);
            mPeers.add(new Peer(VmId.of("vm-" + i), true, "models", domain, "10.0.0.1", 1, false));
        }
        mMembership =
                MembershipMachine.create(
                        VmId.of("self"),
                        FailureDomain.of("hall-0"),
                        ENTRIES_PER_ENDPOINT,
                        new Random(1),
                        new NoOpMembershipOutputs());
        LeaseHolder self = new LeaseHolder(VmId.of("self"), 1, "10.0.0.1", 1);
        mPlanner = WeightPlanner.create(self, new NoOpPlannerOutputs());
        mPlanner.onServices(List.of(SERVICE));
        mPeers.forEach(peer -> mPlanner.onVersion(peer.vm(), SERVICE, 1, true));
        mPlanner.onTick(0);
        mPlanner.onLeaseRecord(WeightPlanner.leaseKey(SERVICE), new LeaseRecord(self, 3), 0);
    }

    /** Handles the platform's VM list. */
    @Benchmark
    public void readList() {
        mMembership.onVmList(mPeers, 0);
    }

    /** Handles an endpoint's report that it has loaded a version. */
    @Benchmark
    public void loadResult() {
        mPlanner.onLatestVersion(SERVICE, ++mVersion, 0);
        mPlanner.onLoadResult(
                mPeers.get((int) (mVersion % mFleet)).vm(),
                SERVICE,
                new WeightMessage.LoadResult(mVersion, null),
                0);
    }

    /** Ignores all outputs. */
    private static final class NoOpMembershipOutputs implements MembershipOutputs {
        @Override
        public void connect(Peer peer) {}

        @Override
        public void disconnect(VmId vm) {}

        @Override
        public void sendHeartbeat(VmId vm) {}

        @Override
        public void setUsable(Peer peer, boolean usable) {}
    }

    /** Accepts every order and ignores all other outputs. */
    private static final class NoOpPlannerOutputs implements PlannerOutputs {
        @Override
        public boolean sendOrder(VmId vm, WeightMessage.LoadOrder order) {
            return true;
        }

        @Override
        public void requestLatestVersion(ServiceName service) {}

        @Override
        public String storeSource(ServiceName service, long version) {
            return "";
        }

        @Override
        public String peerSource(VmId vm, ServiceName service, long version) {
            return "";
        }

        @Override
        public void acquire(String key) {}

        @Override
        public void renew(String key, long revision) {}
    }
}
