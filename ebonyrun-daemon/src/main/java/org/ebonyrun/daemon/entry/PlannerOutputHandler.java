package org.ebonyrun.daemon.entry;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.core.weights.PlannerOutputs;
import org.ebonyrun.core.weights.WeightMessage;
import org.ebonyrun.core.weights.WeightPlanner;
import org.ebonyrun.daemon.link.PeerLink;

/** Carries out the outputs of the weight planner. Confined to its event loop. */
final class PlannerOutputHandler implements PlannerOutputs {
    private final EntryContext mContext;
    private final LeaseOutputs mLeaseOutputs;

    PlannerOutputHandler(EntryContext context) {
        mContext = context;
        mLeaseOutputs =
                new LeaseOutputHandler<WeightPlanner>(
                        () -> context.mLeaseClient, () -> context.mPlannerLoop);
    }

    @Override
    public void acquire(String key) {
        mLeaseOutputs.acquire(key);
    }

    @Override
    public void renew(String key, long revision) {
        mLeaseOutputs.renew(key, revision);
    }

    @Override
    public boolean sendOrder(VmId vm, WeightMessage.LoadOrder order) {
        PeerLink peer = mContext.mPeersByVm.get(vm);
        return peer != null && peer.link().send(order);
    }

    @Override
    public void requestLatestVersion(ServiceName service) {
        mContext.mWeightStore
                .latestVersion(service)
                .thenAccept(
                        result ->
                                result.map(
                                        version -> {
                                            mContext.mPlannerLoop.post(
                                                    (machine, now) ->
                                                            machine.onLatestVersion(
                                                                    service, version, now));
                                            return version;
                                        }));
    }

    @Override
    public String storeSource(ServiceName service, long version) {
        return mContext.mWeightStore.source(service, version);
    }

    @Override
    public String peerSource(VmId vm, ServiceName service, long version) {
        PeerLink peer = mContext.mPeersByVm.get(vm);
        String baseAddress =
                peer == null || peer.hello() == null ? "" : peer.hello().weightSource();
        return baseAddress + "/weights/" + version;
    }
}
