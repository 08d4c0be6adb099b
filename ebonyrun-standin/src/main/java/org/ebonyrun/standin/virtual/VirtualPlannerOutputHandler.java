package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.core.weights.PlannerOutputs;
import org.ebonyrun.core.weights.WeightMessage;

/** Performs the outputs of a virtual entry's weight planner. Not thread safe. */
final class VirtualPlannerOutputHandler implements PlannerOutputs {
    private final VirtualEntry mEntry;
    private final LeaseOutputs mLeases;

    VirtualPlannerOutputHandler(VirtualEntry entry) {
        mEntry = entry;
        mLeases = new VirtualLeaseOutputHandler(entry, () -> entry.mPlanner);
    }

    @Override
    public void acquire(String key) {
        mLeases.acquire(key);
    }

    @Override
    public void renew(String key, long revision) {
        mLeases.renew(key, revision);
    }

    @Override
    public boolean sendOrder(VmId vm, WeightMessage.LoadOrder order) {
        VirtualLink link = mEntry.mLinksByVm.get(vm);
        return link != null && link.sendToAgent(order);
    }

    @Override
    public void requestLatestVersion(ServiceName service) {
        mEntry.schedule(
                Nanos.ofMillis(2),
                () ->
                        mEntry.mPlanner.onLatestVersion(
                                service, mEntry.mDeployment.latestVersion(service), mEntry.now()));
    }

    @Override
    public String storeSource(ServiceName service, long version) {
        return "store/" + version;
    }

    @Override
    public String peerSource(VmId vm, ServiceName service, long version) {
        return vm + "/" + version;
    }
}
