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
 * Tracks the peers of a process. Combines the platform's list of VMs, which lags behind, with the
 * messages that the process receives itself.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A peer is usable only while its link is open, its last message is less than {@link
 *       #SUSPECT_TIMEOUT_NANOS} old, and neither the peer nor the list reports it as leaving.
 *   <li>A list that can't be read changes nothing.
 *   <li>A peer that is no longer listed keeps its link while it sends messages, because the list
 *       lags. It is removed once its link is closed.
 *   <li>A connection attempt is repeated if the peer does not identify itself as the expected VM,
 *       for example because its address was reassigned to another VM.
 *   <li>A peer that is still listed but now assigned to other entries gets no new work from this
 *       one. Its link is closed after a grace period in which the work on it can finish.
 * </ul>
 *
 * <p>Not thread safe; confined to the membership event loop.
 */
public final class MembershipMachine implements Ticking {
    /** Time without a message after which a peer gets no new work, in nanoseconds. */
    public static final long SUSPECT_TIMEOUT_NANOS = Nanos.ofMillis(3_000);

    /** Time without a message after which a link is closed, in nanoseconds. */
    public static final long LOST_TIMEOUT_NANOS = Nanos.ofMillis(10_000);

    private static final long UNASSIGNED_GRACE_NANOS = Nanos.ofMillis(600_000);
    private static final long NEVER = Long.MAX_VALUE;
    private static final long CONNECT_TIMEOUT_NANOS = Nanos.ofMillis(5_000);
    private static final long HEARTBEAT_INTERVAL_NANOS = Nanos.ofMillis(1_000);
    private static final long MIN_BACKOFF_NANOS = Nanos.ofMillis(100);
    private static final long MAX_BACKOFF_NANOS = Nanos.ofMillis(5_000);

    private final VmId mSelf;
    private final FailureDomain mDomain;
    private final int mEntriesPerEndpoint;
    private final RandomGenerator mRandom;
    private final MembershipOutputs mOutputs;
    private final Map<VmId, TrackedPeer> mTracked = new HashMap<>();
    private final Map<Peer, Boolean> mAssignments = new HashMap<>();
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
        mEntriesPerEndpoint = entriesPerEndpoint;
        mRandom = random;
        mOutputs = outputs;
    }

    /** The state of the link to a peer. */
    private enum LinkState {
        CLOSED,
        CONNECTING,
        OPEN
    }

    /** A peer to which this process connects. Confined to the membership event loop. */
    private static final class TrackedPeer {
        private Peer mPeer;
        private boolean mAssigned = true;
        private long mUnassignedAt = NEVER;
        private boolean mReportedLeaving;
        private LinkState mLink = LinkState.CLOSED;
        private long mLastReceivedAt;
        private long mNextHeartbeatAt;
        private long mNextConnectAt;
        private long mConnectingSince;
        private long mBackoff = MIN_BACKOFF_NANOS;
        private boolean mUsable;

        TrackedPeer(Peer peer, long now) {
            mPeer = peer;
            mNextConnectAt = now;
        }
    }

    /**
     * Creates a state machine that connects to the endpoints that have this entry among their
     * {@code entriesPerEndpoint} entries, and to as many other entries.
     */
    public static MembershipMachine create(
            VmId self,
            FailureDomain domain,
            int entriesPerEndpoint,
            RandomGenerator random,
            MembershipOutputs outputs) {
        return new MembershipMachine(self, domain, entriesPerEndpoint, random, outputs);
    }

    /** Handles the platform's latest list of VMs. */
    public void onVmList(List<Peer> peers, long now) {
        if (peers.equals(mLastList)) {
            onTick(now);
            return;
        }
        mLastList = List.copyOf(peers);
        Map<VmId, Peer> assigned = choosePeers(peers);
        Set<VmId> listed = peers.stream().map(Peer::vm).collect(Collectors.toSet());
        for (TrackedPeer tracked : mTracked.values()) {
            VmId vm = tracked.mPeer.vm();
            tracked.mAssigned = assigned.containsKey(vm);
            boolean unassigned = listed.contains(vm) && !tracked.mAssigned;
            tracked.mUnassignedAt = unassigned ? Math.min(tracked.mUnassignedAt, now) : NEVER;
        }
        assigned.values().forEach(peer -> track(peer, now));
        onTick(now);
    }

    /**
     * Returns the peers to connect to. An endpoint's entries are determined by the endpoint's ID
     * and failure domain, so that every endpoint has entries.
     */
    private Map<VmId, Peer> choosePeers(List<Peer> peers) {
        List<Peer> entries = new ArrayList<>();
        entries.add(new Peer(mSelf, false, "", mDomain, "", 0, false));
        peers.stream()
                .filter(peer -> !peer.endpoint() && !peer.vm().equals(mSelf))
                .forEach(entries::add);
        if (!entries.equals(mEntries)) {
            mEntries = entries;
            mAssignments.clear();
        }
        Map<VmId, Peer> assigned = new HashMap<>();
        SubsetChooser.choose(
                        mSelf, mDomain, entries.subList(1, entries.size()), mEntriesPerEndpoint)
                .forEach(peer -> assigned.put(peer.vm(), peer));
        Map<String, List<Peer>> services =
                peers.stream().filter(Peer::endpoint).collect(Collectors.groupingBy(Peer::service));
        for (List<Peer> endpoints : services.values()) {
            endpoints.stream()
                    .filter(peer -> mAssignments.computeIfAbsent(peer, this::isAssigned))
                    .forEach(peer -> assigned.put(peer.vm(), peer));
            SubsetChooser.choose(mSelf, mDomain, endpoints, mEntriesPerEndpoint)
                    .forEach(peer -> assigned.put(peer.vm(), peer));
        }
        mAssignments.keySet().retainAll(Set.copyOf(peers));
        return assigned;
    }

    private boolean isAssigned(Peer endpoint) {
        return SubsetChooser.choose(
                        endpoint.vm(), endpoint.failureDomain(), mEntries, mEntriesPerEndpoint)
                .stream()
                .anyMatch(entry -> entry.vm().equals(mSelf));
    }

    /** Handles an opened link. A link from a peer that this process does not track stays open. */
    public void onConnected(VmId vm, long now) {
        TrackedPeer tracked = mTracked.get(vm);
        if (tracked == null) {
            return;
        }
        tracked.mLink = LinkState.OPEN;
        tracked.mReportedLeaving = false;
        tracked.mLastReceivedAt = now;
        tracked.mNextHeartbeatAt = now;
        tracked.mBackoff = MIN_BACKOFF_NANOS;
        updateUsable(tracked, now);
    }

    /** Handles a link that closed or could not be opened. */
    public void onDisconnected(VmId vm, long now) {
        TrackedPeer tracked = mTracked.get(vm);
        if (tracked == null) {
            return;
        }
        tracked.mLink = LinkState.CLOSED;
        tracked.mNextConnectAt = now + jittered(tracked.mBackoff);
        tracked.mBackoff = Math.min(MAX_BACKOFF_NANOS, tracked.mBackoff * 2);
        updateUsable(tracked, now);
    }

    /**
     * Handles any message from a peer.
     *
     * @param leaving whether the peer reports that it is leaving
     */
    public void onMessageReceived(VmId vm, boolean leaving, long now) {
        TrackedPeer tracked = mTracked.get(vm);
        if (tracked != null) {
            tracked.mLastReceivedAt = now;
            tracked.mReportedLeaving |= leaving;
            updateUsable(tracked, now);
        }
    }

    @Override
    public void onTick(long now) {
        for (TrackedPeer tracked : List.copyOf(mTracked.values())) {
            tick(tracked, now);
        }
    }

    /** Returns the state of each peer, for the admin dump. */
    public List<PeerDump> dump(long now) {
        List<PeerDump> peers = new ArrayList<>();
        for (TrackedPeer tracked : mTracked.values()) {
            peers.add(
                    new PeerDump(
                            tracked.mPeer.vm(),
                            tracked.mPeer.service(),
                            tracked.mPeer.failureDomain(),
                            tracked.mLink.name(),
                            tracked.mAssigned,
                            tracked.mUsable,
                            Nanos.toMillis(now - tracked.mLastReceivedAt)));
        }
        return peers;
    }

    /** Returns the number of VMs in the latest list. */
    public int listedCount() {
        return mLastList.size();
    }

    /**
     * The state of one peer, for the admin dump.
     *
     * @param vm the peer
     * @param service its service; empty for an entry
     * @param failureDomain the failure domain in which it runs
     * @param link the state of the link
     * @param listed whether the latest list assigns it to this process
     * @param usable whether it may get new work
     * @param silentMillis time since its last message, in milliseconds
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
        TrackedPeer tracked = mTracked.computeIfAbsent(peer.vm(), vm -> new TrackedPeer(peer, now));
        if (!tracked.mPeer.host().equals(peer.host()) || tracked.mPeer.port() != peer.port()) {
            mOutputs.disconnect(peer.vm());
            tracked.mNextConnectAt = now;
        }
        tracked.mPeer = peer;
    }

    private void tick(TrackedPeer tracked, long now) {
        VmId vm = tracked.mPeer.vm();
        boolean silent = now - tracked.mLastReceivedAt >= LOST_TIMEOUT_NANOS;
        boolean expired =
                tracked.mUnassignedAt != NEVER
                        && now - tracked.mUnassignedAt >= UNASSIGNED_GRACE_NANOS;
        if (tracked.mLink == LinkState.OPEN && (silent || expired)) {
            mOutputs.disconnect(vm);
        }
        boolean timedOut = now - tracked.mConnectingSince >= CONNECT_TIMEOUT_NANOS;
        if (tracked.mLink == LinkState.CONNECTING && timedOut) {
            onDisconnected(vm, now);
        }
        if (!tracked.mAssigned && tracked.mLink == LinkState.CLOSED) {
            remove(tracked);
            return;
        }
        if (tracked.mLink == LinkState.CLOSED && now - tracked.mNextConnectAt >= 0) {
            tracked.mLink = LinkState.CONNECTING;
            tracked.mConnectingSince = now;
            mOutputs.connect(tracked.mPeer);
        }
        if (tracked.mLink == LinkState.OPEN && now - tracked.mNextHeartbeatAt >= 0) {
            tracked.mNextHeartbeatAt = now + HEARTBEAT_INTERVAL_NANOS;
            mOutputs.sendHeartbeat(vm);
        }
        updateUsable(tracked, now);
    }

    private void remove(TrackedPeer tracked) {
        mTracked.remove(tracked.mPeer.vm());
        setUsable(tracked, false);
    }

    private void updateUsable(TrackedPeer tracked, long now) {
        boolean alive = now - tracked.mLastReceivedAt < SUSPECT_TIMEOUT_NANOS;
        boolean leaving =
                tracked.mReportedLeaving
                        || tracked.mPeer.leaving()
                        || tracked.mUnassignedAt != NEVER;
        setUsable(tracked, tracked.mLink == LinkState.OPEN && alive && !leaving);
    }

    private void setUsable(TrackedPeer tracked, boolean usable) {
        if (tracked.mUsable != usable) {
            tracked.mUsable = usable;
            mOutputs.setUsable(tracked.mPeer, usable);
        }
    }

    private long jittered(long nanos) {
        return nanos / 2 + (long) (mRandom.nextDouble() * nanos);
    }

    /** Returns a peer, or null if this process does not track it. */
    public @Nullable Peer findPeer(VmId vm) {
        TrackedPeer tracked = mTracked.get(vm);
        return tracked == null ? null : tracked.mPeer;
    }
}
