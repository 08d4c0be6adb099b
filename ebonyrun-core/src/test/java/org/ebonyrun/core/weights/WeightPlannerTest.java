package org.ebonyrun.core.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WeightPlannerTest {
    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final LeaseHolder SELF = new LeaseHolder(VmId.of("entry"), 1, "10.0.0.1", 1);
    private static final int ENDPOINTS = 12;

    private final List<VmId> mOrdered = new ArrayList<>();
    private final List<String> mSources = new ArrayList<>();
    private final WeightPlanner mPlanner =
            WeightPlanner.create(
                    SELF,
                    new PlannerOutputs() {
                        @Override
                        public boolean sendOrder(VmId vm, WeightMessage.LoadOrder order) {
                            mOrdered.add(vm);
                            mSources.add(order.source());
                            return true;
                        }

                        @Override
                        public void requestLatestVersion(ServiceName service) {}

                        @Override
                        public String storeSource(ServiceName service, long version) {
                            return "store";
                        }

                        @Override
                        public String peerSource(VmId vm, ServiceName service, long version) {
                            return vm.value();
                        }

                        @Override
                        public void acquire(String key) {}

                        @Override
                        public void renew(String key, long revision) {}
                    });

    @BeforeEach
    void addEndpoints() {
        mPlanner.onServices(List.of(SERVICE));
        for (int i = 0; i < ENDPOINTS; i++) {
            mPlanner.onVersion(vm(i), SERVICE, 1, true);
        }
    }

    @Test
    void sendsNoOrdersWithoutLease() {
        mPlanner.onLatestVersion(SERVICE, 2, 0);
        assertThat(mOrdered, empty());
    }

    @Test
    void limitsStoreFetchesAndCopiesFromLoadedEndpoints() {
        acquireLease();
        mPlanner.onLatestVersion(SERVICE, 2, 0);
        assertThat(mSources, is(List.of("store", "store")));
        for (int done = 0; done < ENDPOINTS; done++) {
            VmId vm = mOrdered.get(done);
            mPlanner.onLoadResult(vm, SERVICE, new WeightMessage.LoadResult(2, null), done);
            int swapping = mOrdered.size() - done - 1;
            assertThat(swapping <= ENDPOINTS * WeightPlanner.MAX_SWAPPING_SHARE, is(true));
        }
        assertThat(mOrdered, hasSize(ENDPOINTS));
        long fromStore = mSources.stream().filter("store"::equals).count();
        assertThat(fromStore <= 4, is(true));
    }

    @Test
    void ordersAgainAfterFailedLoad() {
        acquireLease();
        mPlanner.onLatestVersion(SERVICE, 2, 0);
        VmId first = mOrdered.get(0);
        Fault fault = Fault.failed(FaultCode.ENDPOINT_ERROR, "engine.load", "vm", "disk");
        mPlanner.onLoadResult(first, SERVICE, new WeightMessage.LoadResult(2, fault), 1);
        long before = mOrdered.stream().filter(first::equals).count();
        assertThat(before, is(1L));
        mPlanner.onTick(Nanos.ofMillis(2_000));
        VmId second = mOrdered.get(1);
        mPlanner.onLoadResult(
                second, SERVICE, new WeightMessage.LoadResult(2, null), Nanos.ofMillis(2_050));
        mPlanner.onTick(Nanos.ofMillis(2_100));
        assertThat(mOrdered.stream().filter(first::equals).count(), is(2L));
    }

    private void acquireLease() {
        mPlanner.onTick(0);
        mPlanner.onLeaseRecord(WeightPlanner.leaseKey(SERVICE), new LeaseRecord(SELF, 3), 0);
    }

    private static VmId vm(int i) {
        return VmId.of("vm-" + i);
    }
}
