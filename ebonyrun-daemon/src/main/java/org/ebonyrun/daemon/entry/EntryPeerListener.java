package org.ebonyrun.daemon.entry;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.rollout.RolloutMessage;
import org.ebonyrun.core.weights.WeightMessage;
import org.ebonyrun.daemon.DaemonSettings;
import org.ebonyrun.daemon.link.PeerLink;
import org.ebonyrun.daemon.link.PeerListener;
import org.tinylog.Logger;

/** Posts the messages and link events of an entry's peers to its event loops. Thread safe. */
final class EntryPeerListener implements PeerListener {
    private final EntryContext mContext;

    EntryPeerListener(EntryContext context) {
        mContext = context;
    }

    @Override
    public void onPeerIntroduced(PeerLink peer) {
        if (!mContext.mStarted) {
            peer.link().close();
            return;
        }
        MembershipMessage.Hello hello = hello(peer);
        PeerLink previous = mContext.mPeersByVm.put(hello.vm(), peer);
        if (previous != null && previous != peer && isAgent(hello)) {
            previous.link().close();
        }
        Logger.info("peer={} address={} connected", hello.vm(), peer.link().peer());
        mContext.mMembershipLoop.post((machine, now) -> machine.onConnected(hello.vm(), now));
        if (isAgent(hello)) {
            ServiceName service = ServiceName.of(hello.service());
            mContext.mRolloutLoop.post(
                    (machine, now) -> machine.onAgentConnected(hello.vm(), service));
        }
    }

    @Override
    public void onMessage(PeerLink peer, Message message) {
        if (!mContext.mStarted) {
            return;
        }
        VmId vm = hello(peer).vm();
        if (message instanceof AttemptMessage attempt) {
            onAttempt(vm, attempt);
        } else if (message instanceof MembershipMessage.Heartbeat heartbeat) {
            onHeartbeat(peer, heartbeat);
        } else if (message instanceof ConfigMessage config) {
            long link = peer.number();
            mContext.mConfigLoop.post((machine, now) -> machine.onMessage(link, config));
        } else if (message instanceof WeightMessage.LoadResult result) {
            ServiceName service = ServiceName.of(hello(peer).service());
            mContext.mPlannerLoop.post(
                    (machine, now) -> machine.onLoadResult(vm, service, result, now));
        } else if (message instanceof RolloutMessage.Forward forward) {
            mContext.mPendingStepRequests.beginForwarded(peer, forward);
        } else if (message instanceof RolloutMessage.Forwarded forwarded) {
            mContext.mPendingStepRequests.completeForwarded(peer.link(), forwarded);
        }
    }

    @Override
    public void onPeerLost(PeerLink peer) {
        if (!mContext.mStarted) {
            return;
        }
        MembershipMessage.Hello hello = hello(peer);
        mContext.mPendingStepRequests.onLinkLost(peer.link());
        if (!mContext.mPeersByVm.remove(hello.vm(), peer)) {
            return;
        }
        Logger.info("peer={} address={} disconnected", hello.vm(), peer.link().peer());
        mContext.mMembershipLoop.post((machine, now) -> machine.onDisconnected(hello.vm(), now));
        if (isAgent(hello)) {
            mContext.mMetrics.removeEndpoint(hello.vm().value());
            ServiceName service = ServiceName.of(hello.service());
            mContext.mDispatchLoop.post((machine, now) -> machine.onLinkLost(hello.vm(), now));
            mContext.mRolloutLoop.post((machine, now) -> machine.onAgentLost(hello.vm(), now));
            mContext.mPlannerLoop.post(
                    (machine, now) -> machine.onVersion(hello.vm(), service, 0, false));
        }
    }

    private void onAttempt(VmId vm, AttemptMessage message) {
        boolean isForRollout =
                message instanceof AttemptMessage.SampleContent
                        || message instanceof AttemptMessage.HeldSamples;
        if (isForRollout) {
            mContext.mRolloutLoop.post((machine, now) -> machine.onMessage(vm, message, now));
        } else {
            mContext.mDispatchLoop.post((machine, now) -> machine.onMessage(vm, message, now));
        }
    }

    private void onHeartbeat(PeerLink peer, MembershipMessage.Heartbeat heartbeat) {
        MembershipMessage.Hello hello = hello(peer);
        VmId vm = hello.vm();
        EndpointLoad load = heartbeat.load();
        boolean leaving = load != null && load.leaving();
        mContext.mMembershipLoop.post(
                (machine, now) -> machine.onMessageReceived(vm, leaving, now));
        long version = heartbeat.configVersion();
        if (version != mContext.mCurrentConfig.version()) {
            long link = peer.number();
            mContext.mConfigLoop.post((machine, now) -> machine.onPeerVersion(link, version));
        }
        if (load != null) {
            ServiceName service = ServiceName.of(hello.service());
            mContext.mMetrics.setFreeCapacity(vm.value(), load.freeSlots(), load.sampleRoom());
            mContext.mDispatchLoop.post((machine, now) -> machine.onHeartbeat(vm, load, now));
            mContext.mPlannerLoop.post(
                    (machine, now) -> machine.onVersion(vm, service, load.version(), true));
        }
    }

    private static boolean isAgent(MembershipMessage.Hello hello) {
        return hello.role().equals(DaemonSettings.ROLE_ENDPOINT);
    }

    private static MembershipMessage.Hello hello(PeerLink peer) {
        MembershipMessage.Hello hello = peer.hello();
        if (hello == null) {
            throw new IllegalStateException(
                    "no hello received on the link with " + peer.link().peer());
        }
        return hello;
    }
}
