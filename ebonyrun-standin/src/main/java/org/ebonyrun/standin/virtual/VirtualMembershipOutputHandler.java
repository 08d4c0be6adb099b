package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.membership.MembershipOutputs;
import org.ebonyrun.core.membership.Peer;

/** Performs the outputs of a virtual entry's membership machine. Not thread safe. */
final class VirtualMembershipOutputHandler implements MembershipOutputs {
    private final VirtualEntry mEntry;

    VirtualMembershipOutputHandler(VirtualEntry entry) {
        mEntry = entry;
    }

    @Override
    public void connect(Peer peer) {
        mEntry.mDeployment.connect(mEntry, peer);
    }

    @Override
    public void disconnect(VmId vm) {
        VirtualLink link = mEntry.mLinksByVm.get(vm);
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void sendHeartbeat(VmId vm) {
        VirtualLink link = mEntry.mLinksByVm.get(vm);
        if (link != null) {
            link.sendToAgent(
                    new MembershipMessage.Heartbeat(mEntry.mCurrentConfig.version(), null));
        }
    }

    @Override
    public void setUsable(Peer peer, boolean usable) {
        if (peer.endpoint()) {
            ServiceName service = ServiceName.of(peer.service());
            mEntry.post(
                    () ->
                            mEntry.mDispatcher.setEndpointUsable(
                                    peer.vm(),
                                    service,
                                    peer.failureDomain(),
                                    usable,
                                    mEntry.now()));
        }
    }
}
