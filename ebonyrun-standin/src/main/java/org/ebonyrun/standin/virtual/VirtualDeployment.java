package org.ebonyrun.standin.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.membership.Peer;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.daemon.store.StoredConfig;

/**
 * Entries, agents and endpoints of one deployment in virtual time, with the faults of a plan.
 *
 * <p>Not thread safe.
 */
public final class VirtualDeployment {
    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long DELAY_NANOS = Nanos.ofMillis(3_000);
    private static final long OUTAGE_NANOS = Nanos.ofMillis(8_000);
    private static final long PAUSE_NANOS = Nanos.ofMillis(10_000);
    private static final long STALE_NANOS = Nanos.ofMillis(20_000);
    private static final long RESTART_NANOS = Nanos.ofMillis(2_000);
    private static final int FAULTY_ACTS = 2;
    private static final int LINK_PORT = 7_100;

    final VirtualClock mClock = new VirtualClock();
    final VirtualStore mStore = new VirtualStore(mClock);
    final Random mRandom;
    final FaultPlan mFaults;
    final PolicySet mPolicies;
    private final List<VirtualEntry> mEntries = new ArrayList<>();
    private final List<VirtualAgent> mAgents = new ArrayList<>();
    private final Set<VirtualProcess> mRemoved = new HashSet<>();
    private final Map<ServiceName, Long> mLatest = new HashMap<>();
    private List<Peer> mFrozenList = List.of();
    private long mFrozenUntil;
    private long mLinks;

    private VirtualDeployment(long seed, FaultPlan faults, PolicySet policy) {
        mRandom = new Random(seed);
        mFaults = faults;
        mPolicies = policy;
    }

    /** Creates a world without processes. */
    public static VirtualDeployment create(long seed, FaultPlan faults, PolicySet policy) {
        return new VirtualDeployment(seed, faults, policy);
    }

    /** Adds an entry; it starts with {@link #start}. */
    public VirtualEntry addEntry(String vm, String domain) {
        VirtualEntry entry = new VirtualEntry(this, VmId.of(vm), FailureDomain.of(domain));
        mEntries.add(entry);
        return entry;
    }

    /** Adds an agent and its endpoint; it starts with {@link #start}. */
    public VirtualAgent addAgent(String vm, String domain, String service, EngineModel model) {
        VirtualEngine engine = new VirtualEngine(mClock, vm, model, model.plain() ? 0 : 1);
        VirtualAgent agent =
                new VirtualAgent(
                        this,
                        VmId.of(vm),
                        ServiceName.of(service),
                        FailureDomain.of(domain),
                        engine);
        mAgents.add(agent);
        mLatest.putIfAbsent(agent.mService, 1L);
        return agent;
    }

    /** Starts all processes. */
    public void start() {
        mAgents.forEach(VirtualProcess::start);
        mEntries.forEach(VirtualProcess::start);
    }

    /** Returns the clock. */
    public VirtualClock clock() {
        return mClock;
    }

    /** Returns the key-value service. */
    public VirtualStore store() {
        return mStore;
    }

    /** Returns the entries, dead ones included. */
    public List<VirtualEntry> entries() {
        return mEntries;
    }

    /** Returns the agents, dead ones included. */
    public List<VirtualAgent> agents() {
        return mAgents;
    }

    /** Returns the newest version in the weight store. */
    public long latestVersion(ServiceName service) {
        return mLatest.getOrDefault(service, 0L);
    }

    /** Publishes a version of a service's weights. */
    public void publish(ServiceName service, long version) {
        mLatest.merge(service, version, Math::max);
    }

    /** Returns an entry that the balancer takes for live, or empty if there is none. */
    public Optional<VirtualEntry> selectEntry(int turn) {
        List<VirtualEntry> live =
                mEntries.stream().filter(e -> e.isAlive() && !e.isDraining()).toList();
        return live.isEmpty()
                ? Optional.empty()
                : Optional.of(live.get(Math.floorMod(turn, live.size())));
    }

    /** Takes a whole failure domain away, for good. */
    public void failDomain(String domain) {
        for (VirtualAgent agent : List.copyOf(mAgents)) {
            if (agent.mDomain.value().equals(domain) && agent.isAlive()) {
                removeFromVmList(agent);
                agent.mEngine.crash();
                agent.stop();
            }
        }
        for (VirtualEntry entry : List.copyOf(mEntries)) {
            if (entry.mDomain.value().equals(domain) && entry.isAlive()) {
                removeFromVmList(entry);
                entry.stop();
            }
        }
    }

    /** Crashes an endpoint; it restarts after the given time. */
    public void crashEndpoint(VirtualAgent agent, long nanos) {
        agent.mEngine.crash();
        mClock.schedule(nanos, agent.mEngine::restart);
    }

    /** Makes an endpoint slower by a factor. */
    public void slowEndpoint(VirtualAgent agent, double factor) {
        agent.mEngine.setSlowFactor(factor);
    }

    /** Lets the key-value service be away for a while. */
    public void startStoreOutage(long nanos) {
        mStore.setDownUntil(mClock.now() + nanos);
    }

    /** Sends a call to the entry that the balancer chooses. The sink is called once. */
    public void sendCall(int turn, VirtualCall call, Consumer<CallOutcome> sink) {
        VirtualEntry entry = selectEntry(turn).orElse(null);
        if (entry == null) {
            sink.accept(CallOutcome.lost());
            return;
        }
        mClock.schedule(
                LATENCY_NANOS,
                () -> {
                    if (entry.isAlive()) {
                        entry.handleCall(call, sink);
                    } else {
                        sink.accept(CallOutcome.lost());
                    }
                });
    }

    /** Applies a configuration at the entry that the balancer chooses, on top of what it has. */
    public void applyConfig(
            int turn, String text, String nonce, Consumer<Result<StoredConfig>> sink) {
        selectEntry(turn)
                .ifPresent(entry -> entry.applyConfig(entry.configVersion(), text, nonce, sink));
    }

    /** Begins a graceful shutdown of an agent. */
    public void drain(VirtualAgent agent) {
        agent.markTerminating();
        agent.run(agent::drain);
    }

    /** Begins a graceful shutdown of an entry. */
    public void drain(VirtualEntry entry) {
        entry.markTerminating();
        entry.run(entry::drain);
    }

    /** Returns the live processes whose configuration is below a version. */
    public List<String> processesBelowConfigVersion(long version) {
        List<String> names = new ArrayList<>();
        for (VirtualEntry entry : mEntries) {
            if (entry.isAlive() && entry.configVersion() < version) {
                names.add(entry.vm().value());
            }
        }
        for (VirtualAgent agent : mAgents) {
            if (agent.isAlive() && agent.configVersion() < version) {
                names.add(agent.vm().value());
            }
        }
        return names;
    }

    /** Returns what processes did that breaks a promise, by what they recorded of themselves. */
    public List<String> findProcessViolations(long acceptedConfig) {
        List<String> broken = new ArrayList<>();
        processesBelowConfigVersion(acceptedConfig)
                .forEach(name -> broken.add("9 " + name + " lacks version " + acceptedConfig));
        for (VirtualEntry entry : mEntries) {
            if (entry.hasRevertedConfig()) {
                broken.add("9 " + entry.vm() + " went back");
            }
        }
        for (VirtualAgent agent : mAgents) {
            if (agent.hasRevertedConfig()) {
                broken.add("9 " + agent.vm() + " went back");
            }
            if (agent.startsAfterDrain() > 0) {
                broken.add("7 " + agent.vm() + " got new work while leaving");
            }
            if (agent.engine().acceptedStaleOrders() > 0) {
                broken.add("fence: " + agent.vm() + " obeyed an old order");
            }
        }
        return broken;
    }

    void removeFromVmList(VirtualProcess process) {
        mRemoved.add(process);
    }

    List<Peer> vmList() {
        if (mClock.now() < mFrozenUntil) {
            return mFrozenList;
        }
        List<Peer> peers = new ArrayList<>();
        for (VirtualAgent agent : mAgents) {
            if (!mRemoved.contains(agent)) {
                peers.add(
                        new Peer(
                                agent.mVm,
                                true,
                                agent.mService.value(),
                                agent.mDomain,
                                "10.0.0.1",
                                LINK_PORT,
                                agent.isTerminating()));
            }
        }
        return peers;
    }

    void connect(VirtualEntry entry, Peer peer) {
        VirtualAgent agent =
                mAgents.stream()
                        .filter(candidate -> candidate.mVm.equals(peer.vm()))
                        .findFirst()
                        .orElseThrow();
        entry.schedule(
                LATENCY_NANOS,
                () -> {
                    if (!agent.isAlive()) {
                        entry.mMembership.onDisconnected(peer.vm(), mClock.now());
                        return;
                    }
                    VirtualLink link = new VirtualLink(this, ++mLinks, entry, agent);
                    entry.onLinkOpened(link);
                    agent.run(() -> agent.onLinkOpened(link));
                });
    }

    /** Passes a request on to the entry that holds a lease. */
    void forward(
            VirtualEntry from,
            LeaseHolder owner,
            StepRequest request,
            Consumer<StepReply> sink,
            Runnable unreachable) {
        VirtualEntry to =
                mEntries.stream()
                        .filter(entry -> entry.mVm.equals(owner.vm()))
                        .findFirst()
                        .orElse(null);
        boolean same = to != null && to.isAlive() && to.mIdentity.isSameProcess(owner);
        Runnable lost = from.guarded(unreachable);
        if (!same) {
            mClock.schedule(LATENCY_NANOS, lost);
            return;
        }
        Consumer<StepReply> back =
                reply -> mClock.schedule(LATENCY_NANOS, from.guarded(() -> sink.accept(reply)));
        mClock.schedule(LATENCY_NANOS, () -> to.handleStepRequest(request, true, back, lost));
    }

    /** Performs an act, and the fault that the plan has for it. */
    void performWithFault(InjectionPoint step, Participants parties, Runnable act) {
        Optional<FaultKind> fault = mFaults.recordOccurrence(step);
        if (fault.isEmpty()) {
            act.run();
            return;
        }
        switch (fault.get()) {
            case ENTRY_CRASH_BEFORE, ENTRY_CRASH_AFTER, ENTRY_PAUSE, FENCE_IGNORED ->
                    strikeEntry(fault.get(), parties, act);
            case LINK_CUT, ANSWER_LOST, DELAY, DUPLICATE, REORDER ->
                    strikeMessage(fault.get(), parties, act);
            case STORE_DOWN, STORE_SLOW, STORE_ANSWER_LOST -> strikeStore(fault.get(), act);
            default -> strikeAgent(fault.get(), parties, act);
        }
    }

    private void strikeEntry(FaultKind kind, Participants parties, Runnable act) {
        VirtualEntry entry = parties.entry();
        if (entry == null) {
            act.run();
            return;
        }
        switch (kind) {
            case ENTRY_CRASH_BEFORE -> entry.crash();
            case ENTRY_CRASH_AFTER -> {
                act.run();
                entry.crash();
            }
            case FENCE_IGNORED -> {
                mAgents.forEach(agent -> agent.mEngine.ignoreFences());
                entry.pause(PAUSE_NANOS);
                entry.run(act);
            }
            default -> {
                entry.pause(PAUSE_NANOS);
                entry.run(act);
            }
        }
    }

    private void strikeMessage(FaultKind kind, Participants parties, Runnable act) {
        VirtualLink link = parties.link();
        Runnable lose = parties.dropClientMessage();
        switch (kind) {
            case LINK_CUT -> {
                if (link != null) {
                    link.close();
                } else if (lose != null) {
                    lose.run();
                }
            }
            case ANSWER_LOST -> {
                act.run();
                if (link != null) {
                    mClock.schedule(2 * LATENCY_NANOS, link::close);
                } else if (lose != null) {
                    lose.run();
                }
            }
            case DELAY -> {
                if (link != null) {
                    link.delay(DELAY_NANOS);
                    act.run();
                } else {
                    mClock.schedule(DELAY_NANOS, act);
                }
            }
            case REORDER -> {
                if (link != null) {
                    link.reorderNext();
                }
                act.run();
            }
            default -> {
                act.run();
                act.run();
            }
        }
    }

    private void strikeStore(FaultKind kind, Runnable act) {
        switch (kind) {
            case STORE_DOWN -> mStore.setDownUntil(mClock.now() + OUTAGE_NANOS);
            case STORE_SLOW -> mStore.setSlowUntil(mClock.now() + OUTAGE_NANOS);
            default -> mStore.dropResponses(FAULTY_ACTS);
        }
        act.run();
    }

    private void strikeAgent(FaultKind kind, Participants parties, Runnable act) {
        VirtualAgent agent = parties.agent();
        if (agent == null) {
            act.run();
            return;
        }
        switch (kind) {
            case AGENT_CRASH_BEFORE -> agent.crash();
            case AGENT_CRASH_AFTER -> {
                act.run();
                agent.crash();
            }
            case AGENT_PAUSE -> {
                agent.pause(PAUSE_NANOS);
                agent.run(act);
            }
            case VM_LIST_STALE -> {
                mFrozenList = vmList();
                mFrozenUntil = mClock.now() + STALE_NANOS;
                act.run();
                agent.crash();
            }
            case ENDPOINT_CRASH -> {
                crashEndpoint(agent, RESTART_NANOS);
                act.run();
            }
            case TRUNCATED_STREAM -> {
                agent.mEngine.truncateStreams(FAULTY_ACTS);
                act.run();
            }
            default -> {
                agent.mEngine.failLoads(FAULTY_ACTS);
                act.run();
            }
        }
    }
}
