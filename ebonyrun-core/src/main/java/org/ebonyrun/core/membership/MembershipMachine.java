package org.ebonyrun.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * Joins the platform's lagging list of VMs with what the process hears itself.
 *
 * <p>Invariants: a peer is usable only while its link is open, it was heard of within {@link
 * #SUSPECT_NANOS}, and neither it nor the list says that it is leaving. A list that can't be read
 * changes nothing. A peer that the list has dropped keeps its link while it is heard, because the
 * list lags; it goes when both are silent. A connection whose peer does not introduce itself as the
 * wanted VM, for example because its address was given to another, is tried again after a while. A
 * peer that is still listed but was assigned to other entries gets no new work here, and its link
 * is closed when what runs on it has had time to end.
 *
 * <p>Not thread safe; confined to the membership duty.
 */
public final class MembershipMachine implements Ticking {
    /** Silence after which a peer gets no new work, in nanoseconds. */
    public static final long SUSPECT_TIMEOUT_NANOS = Nanos.ofMillis(3_000);

    /** Silence after which a link is closed, in nanoseconds. */
    public static final long LOST_TIMEOUT_NANOS = Nanos.ofMillis(10_000);

    private static final long RETIRE_NANOS = Nanos.ofMillis(600_000);
    private static final long NEVER = Long.MAX_VALUE;
    private static final long CONNECT_NANOS = Nanos.ofMillis(5_000);
    private static final long HEARTBEAT_NANOS = Nanos.ofMillis(1_000);
    private static final long MIN_BACKOFF_NANOS = Nanos.ofMillis(100);
    private static final long MAX_BACKOFF_NANOS = Nanos.ofMillis(5_000);

    private final VmId mSelf;
    private final FailureDomain mDomain;
    private final int mReplicas;
    private final RandomGenerator mRandom;
    private final MembershipOutputs mOutputs;
    private final Map<VmId, Tracked> mTracked = new HashMap<>();
    private final Map<Peer, Boolean> mAssigned = new HashMap<>();
    private List<Peer> mLastList = List.of();
    private List<Peer> mEntries = List.of();

    private MembershipMachine(
            VmId self,
            FailureDomain domain,
            int entriesPerEndpoint,
            RandomGenerator random,
            MembershipOutputs outputs) {
        mSelf = self;
        mDomain = domain;
        mReplicas = entriesPerEndpoint;
        mRandom = random;
        mOutputs = outputs;
    }

    /** Where the link to a peer stands. */
    private enum LinkState {
        CLOSED,
        CONNECTING,
        OPEN
    }

    /** One peer that this process connects to. Confined to the membership duty. */
    private static final class Tracked {
        private Peer mPeer;
        private boolean mListed = true;
        private long mRetiredAt = NEVER;
        private boolean mLeavingSaid;
        private LinkState mLink = LinkState.CLOSED;
        private long mHeardAt;
        private long mNextHeartbeat;
        private long mNextConnect;
        private long mConnectingSince;
        private long mBackoff = MIN_BACKOFF_NANOS;
        private boolean mUsable;

        Tracked(Peer peer, long now) {
            mPeer = peer;
            mNextConnect = now;
        }
    }

    /**
     * Creates a machine that connects to the endpoints of which this entry is one of the {@code
     * entriesPerEndpoint} chosen, and to as many other entries.
     */
    public static MembershipMachine create(
            VmId self,
            FailureDomain domain,
            int entriesPerEndpoint,
            RandomGenerator random,
            MembershipOutputs outputs) {
        return new MembershipMachine(self, domain, entriesPerEndpoint, random, outputs);
    }

    /** Handles a fresh reading of the platform's list. */
    public void onVmList(List<Peer> peers, long now) {
        if (peers.equals(mLastList)) {
            onTick(now);
            return;
        }
        mLastList = List.copyOf(peers);
        Map<VmId, Peer> wanted = wanted(peers);
        Set<VmId> listed = peers.stream().map(Peer::vm).collect(Collectors.toSet());
        for (Tracked tracked : mTracked.values()) {
            VmId vm = tracked.mPeer.vm();
            tracked.mListed = wanted.containsKey(vm);
            boolean retired = listed.contains(vm) && !tracked.mListed;
            tracked.mRetiredAt = retired ? Math.min(tracked.mRetiredAt, now) : NEVER;
        }
        wanted.values().forEach(peer -> track(peer, now));
        onTick(now);
    }

    /**
     * Returns the peers to connect to. Each endpoint has its own few entries, chosen from its side,
     * so that none is left without.
     */
    private Map<VmId, Peer> wanted(List<Peer> peers) {
        List<Peer> entries = new ArrayList<>();
        entries.add(new Peer(mSelf, false, "", mDomain, "", 0, false));
        peers.stream()
                .filter(peer -> !peer.endpoint() && !peer.vm().equals(mSelf))
                .forEach(entries::add);
        if (!entries.equals(mEntries)) {
            mEntries = entries;
            mAssigned.clear();
        }
        Map<VmId, Peer> wanted = new HashMap<>();
        SubsetChooser.choose(mSelf, mDomain, entries.subList(1, entries.size()), mReplicas)
                .forEach(peer -> wanted.put(peer.vm(), peer));
        Map<String, List<Peer>> services =
                peers.stream().filter(Peer::endpoint).collect(Collectors.groupingBy(Peer::service));
        for (List<Peer> endpoints : services.values()) {
            endpoints.stream()
                    .filter(peer -> mAssigned.computeIfAbsent(peer, this::isAssigned))
                    .forEach(peer -> wanted.put(peer.vm(), peer));
            SubsetChooser.choose(mSelf, mDomain, endpoints, mReplicas)
                    .forEach(peer -> wanted.put(peer.vm(), peer));
        }
        mAssigned.keySet().retainAll(Set.copyOf(peers));
        return wanted;
    }

    private boolean isAssigned(Peer endpoint) {
        return SubsetChooser.choose(endpoint.vm(), endpoint.failureDomain(), mEntries, mReplicas)
                .stream()
                .anyMatch(entry -> entry.vm().equals(mSelf));
    }

    /**
     * Handles an opened link; one that a peer opened, and that is not wanted here, is left open.
     */
    public void onConnected(VmId vm, long now) {
        Tracked tracked = mTracked.get(vm);
        if (tracked == null) {
            return;
        }
        tracked.mLink = LinkState.OPEN;
        tracked.mLeavingSaid = false;
        tracked.mHeardAt = now;
        tracked.mNextHeartbeat = now;
        tracked.mBackoff = MIN_BACKOFF_NANOS;
        refresh(tracked, now);
    }

    /** Handles a link that closed or could not be opened. */
    public void onDisconnected(VmId vm, long now) {
        Tracked tracked = mTracked.get(vm);
        if (tracked == null) {
            return;
        }
        tracked.mLink = LinkState.CLOSED;
        tracked.mNextConnect = now + jittered(tracked.mBackoff);
        tracked.mBackoff = Math.min(MAX_BACKOFF_NANOS, tracked.mBackoff * 2);
        refresh(tracked, now);
    }

    /**
     * Handles any message of a peer.
     *
     * @param leaving whether the peer says that it is leaving
     */
    public void onMessageReceived(VmId vm, boolean leaving, long now) {
        Tracked tracked = mTracked.get(vm);
        if (tracked != null) {
            tracked.mHeardAt = now;
            tracked.mLeavingSaid |= leaving;
            refresh(tracked, now);
        }
    }

    @Override
    public void onTick(long now) {
        for (Tracked tracked : List.copyOf(mTracked.values())) {
            tick(tracked, now);
        }
    }

    /** Returns the peers and their state for a dump. */
    public List<PeerDump> dump(long now) {
        List<PeerDump> peers = new ArrayList<>();
        for (Tracked tracked : mTracked.values()) {
            peers.add(
                    new PeerDump(
                            tracked.mPeer.vm(),
                            tracked.mPeer.service(),
                            tracked.mPeer.failureDomain(),
                            tracked.mLink.name(),
                            tracked.mListed,
                            tracked.mUsable,
                            Nanos.toMillis(now - tracked.mHeardAt)));
        }
        return peers;
    }

    /** Returns the number of VMs in the newest list. */
    public int listedCount() {
        return mLastList.size();
    }

    /**
     * The state of one peer for people.
     *
     * @param vm the peer
     * @param service its service; empty for an entry
     * @param failureDomain where it runs
     * @param link the state of the link
     * @param listed whether the newest list has it
     * @param usable whether it may get new work
     * @param silentMillis time since it was heard, in milliseconds
     */
    public record PeerDump(
            VmId vm,
            String service,
            FailureDomain failureDomain,
            String link,
            boolean listed,
            boolean usable,
            long silentMillis) {}

    private void track(Peer peer, long now) {
        Tracked tracked = mTracked.computeIfAbsent(peer.vm(), vm -> new Tracked(peer, now));
        if (!tracked.mPeer.host().equals(peer.host()) || tracked.mPeer.port() != peer.port()) {
            mOutputs.disconnect(peer.vm());
            tracked.mNextConnect = now;
        }
        tracked.mPeer = peer;
    }

    private void tick(Tracked tracked, long now) {
        VmId vm = tracked.mPeer.vm();
        boolean silent = now - tracked.mHeardAt >= LOST_TIMEOUT_NANOS;
        boolean retired = tracked.mRetiredAt != NEVER && now - tracked.mRetiredAt >= RETIRE_NANOS;
        if (tracked.mLink == LinkState.OPEN && (silent || retired)) {
            mOutputs.disconnect(vm);
        }
        boolean stuck = now - tracked.mConnectingSince >= CONNECT_NANOS;
        if (tracked.mLink == LinkState.CONNECTING && stuck) {
            onDisconnected(vm, now);
        }
        if (!tracked.mListed && tracked.mLink == LinkState.CLOSED) {
            forget(tracked);
            return;
        }
        if (tracked.mLink == LinkState.CLOSED && now - tracked.mNextConnect >= 0) {
            tracked.mLink = LinkState.CONNECTING;
            tracked.mConnectingSince = now;
            mOutputs.connect(tracked.mPeer);
        }
        if (tracked.mLink == LinkState.OPEN && now - tracked.mNextHeartbeat >= 0) {
            tracked.mNextHeartbeat = now + HEARTBEAT_NANOS;
            mOutputs.sendHeartbeat(vm);
        }
        refresh(tracked, now);
    }

    private void forget(Tracked tracked) {
        mTracked.remove(tracked.mPeer.vm());
        setUsable(tracked, false);
    }

    private void refresh(Tracked tracked, long now) {
        boolean heard = now - tracked.mHeardAt < SUSPECT_TIMEOUT_NANOS;
        boolean leaving =
                tracked.mLeavingSaid || tracked.mPeer.leaving() || tracked.mRetiredAt != NEVER;
        setUsable(tracked, tracked.mLink == LinkState.OPEN && heard && !leaving);
    }

    private void setUsable(Tracked tracked, boolean usable) {
        if (tracked.mUsable != usable) {
            tracked.mUsable = usable;
            mOutputs.setUsable(tracked.mPeer, usable);
        }
    }

    private long jittered(long nanos) {
        return nanos / 2 + (long) (mRandom.nextDouble() * nanos);
    }

    /** Returns the record of a peer, or null if it is not connected to. */
    public @Nullable Peer findPeer(VmId vm) {
        Tracked tracked = mTracked.get(vm);
        return tracked == null ? null : tracked.mPeer;
    }
}
