package org.ebonyrun.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.base.wire.Link;
import org.ebonyrun.base.wire.LinkListener;
import org.ebonyrun.base.wire.LinkTransport;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.membership.HeartbeatPolicy;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.daemon.link.WireTypes;

/**
 * Emulates many agents behind one port: each link represents a separate agent, which sends
 * heartbeats at the maximum rate and answers every offer immediately. Thread safe.
 */
final class EmulatedAgents implements LinkListener, AutoCloseable {
    static final String SERVICE = "models";

    private static final long HEARTBEAT_MILLIS =
            Nanos.toMillis(HeartbeatPolicy.CHANGED_INTERVAL_NANOS);
    private static final EndpointLoad LOAD = new EndpointLoad(8, 0, 0, 8, 0, false, false, 0);
    private static final byte[] ANSWER = "{}".getBytes(StandardCharsets.UTF_8);

    private final int mCount;
    private final AtomicInteger mNextIndex = new AtomicInteger();
    private final Map<Link, VmId> mVmsByLink = new ConcurrentHashMap<>();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final LinkTransport mTransport;
    private final int mPort;
    private volatile long mConfigVersion;

    EmulatedAgents(int count) throws IOException {
        mCount = count;
        mTransport = LinkTransport.start("emulated", WireTypes.codec(), this);
        mPort = mTransport.listen("127.0.0.1", 0);
        mTimer.scheduleAtFixedRate(
                this::sendHeartbeats, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    int port() {
        return mPort;
    }

    int connectedCount() {
        return mVmsByLink.size();
    }

    static VmId vm(int index) {
        return VmId.of("vm-" + index);
    }

    static FailureDomain domain(int index) {
        return FailureDomain.of("hall-" + index % 8);
    }

    @Override
    public void onOpen(Link link) {
        int index = Math.floorMod(mNextIndex.getAndIncrement(), mCount);
        mVmsByLink.put(link, vm(index));
        link.send(
                new MembershipMessage.Hello(
                        vm(index), "endpoint", SERVICE, domain(index), index, ""));
    }

    @Override
    public void onMessage(Link link, Message message) {
        if (message instanceof AttemptMessage.Offer offer) {
            link.send(new AttemptMessage.Piece(offer.id(), 0, ANSWER));
            link.send(
                    new AttemptMessage.Done(
                            offer.id(),
                            1,
                            200,
                            "application/json",
                            0,
                            WeightVersions.none(),
                            LOAD));
        } else if (message instanceof MembershipMessage.Heartbeat heartbeat) {
            mConfigVersion = Math.max(mConfigVersion, heartbeat.configVersion());
        }
    }

    @Override
    public void onClose(Link link) {
        mVmsByLink.remove(link);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mTransport.close();
    }

    private void sendHeartbeats() {
        Message heartbeat = new MembershipMessage.Heartbeat(mConfigVersion, LOAD);
        mVmsByLink.keySet().forEach(link -> link.send(heartbeat));
    }
}
