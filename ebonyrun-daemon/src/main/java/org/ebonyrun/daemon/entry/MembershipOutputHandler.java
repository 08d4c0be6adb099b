package org.ebonyrun.daemon.entry;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.membership.MembershipOutputs;
import org.ebonyrun.core.membership.Peer;
import org.ebonyrun.daemon.link.PeerLink;

/** Carries out the outputs of the membership state machine. Confined to its event loop. */
final class MembershipOutputHandler implements MembershipOutputs {
    private final EntryContext mContext;

    MembershipOutputHandler(EntryContext context) {
        mContext = context;
    }

    @Override
    public void connect(Peer peer) {
        mContext.mTransport
                .connect(peer.host(), peer.port())
                .whenComplete(
                        (link, error) -> {
                            if (error != null) {
                                mContext.mMembershipLoop.post(
                                        (machine, now) -> machine.onDisconnected(peer.vm(), now));
                            }
                        });
    }

    @Override
    public void disconnect(VmId vm) {
        PeerLink peer = mContext.mPeersByVm.get(vm);
        if (peer != null) {
            peer.link().close();
        }
    }

    @Override
    public void sendHeartbeat(VmId vm) {
        PeerLink peer = mContext.mPeersByVm.get(vm);
        if (peer != null) {
            long version = mContext.mCurrentConfig.version();
            peer.link().send(new MembershipMessage.Heartbeat(version, null));
        }
    }

    @Override
    public void setUsable(Peer peer, boolean usable) {
        if (!peer.endpoint()) {
            return;
        }
        ServiceName service = ServiceName.of(peer.service());
        mContext.mDispatchLoop.post(
                (machine, now) ->
                        machine.setEndpointUsable(
                                peer.vm(), service, peer.failureDomain(), usable, now));
    }
}
