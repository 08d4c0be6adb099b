package org.ebonyrun.daemon.entry;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.membership.MembershipOutputs;
import org.ebonyrun.core.membership.Peer;
import org.ebonyrun.daemon.link.PeerLink;

/** Carries out what the membership duty decides. Used on its thread. */
final class MembershipEffects implements MembershipOutputs {
    private final EntryContext mContext;

    MembershipEffects(EntryContext context) {
        mContext = context;
    }

    @Override
    public void connect(Peer peer) {
        mContext.mTransport
                .connect(peer.host(), peer.port())
                .whenComplete(
                        (link, error) -> {
                            if (error != null) {
                                mContext.mMembershipDuty.post(
                                        (machine, now) -> machine.onDisconnected(peer.vm(), now));
                            }
                        });
    }

    @Override
    public void disconnect(VmId vm) {
        PeerLink peer = mContext.mByVm.get(vm);
        if (peer != null) {
            peer.link().close();
        }
    }

    @Override
    public void heartbeat(VmId vm) {
        PeerLink peer = mContext.mByVm.get(vm);
        if (peer != null) {
            long version = mContext.mCurrent.version();
            peer.link().send(new MembershipMessage.Heartbeat(version, null));
        }
    }

    @Override
    public void usable(Peer peer, boolean usable) {
        if (!peer.endpoint()) {
            return;
        }
        ServiceName service = ServiceName.of(peer.service());
        mContext.mDispatchDuty.post(
                (machine, now) ->
                        machine.onUsable(peer.vm(), service, peer.failureDomain(), usable, now));
    }
}
