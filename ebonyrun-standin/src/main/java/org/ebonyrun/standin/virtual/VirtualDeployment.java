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
 * The entries, agents and endpoints of one deployment in virtual time. Injects the faults of a
 * plan.
 *
 * <p>Not thread safe.
 */
public final class VirtualDeployment {
    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long DELAY_NANOS = Nanos.ofMillis(3_000);
    private static final long OUTAGE_NANOS = Nanos.ofMillis(8_000);
    private static final long PAUSE_NANOS = Nanos.ofMillis(10_000);
    private static final long STALE_VM_LIST_NANOS = Nanos.ofMillis(20_000);
    private static final long RESTART_NANOS = Nanos.ofMillis(2_000);
    private static final int FAULTY_ACTIONS = 2;
    private static final int LINK_PORT = 7_100;

    final VirtualClock mClock = new VirtualClock();
    final VirtualStore mStore = new VirtualStore(mClock);
    final Random mRandom;
    final FaultPlan mFaultPlan;
    final PolicySet mPolicies;
    private final List<VirtualEntry> mEntries = new ArrayList<>();
    private final List<VirtualAgent> mAgents = new ArrayList<>();
    private final Set<VirtualProcess> mRemoved = new HashSet<>();
    private final Map<ServiceName, Long> mLatestVersions = new HashMap<>();
    private List<Peer> mFrozenVmList = List.of();
    private long mVmListFrozenUntil;
    private long mLastLinkNumber;

    private VirtualDeployment(long seed, FaultPlan faultPlan, PolicySet policies) {
        mRandom = new Random(seed);
        mFaultPlan = faultPlan;
        mPolicies = policies;
    }

    /** Creates a deployment without processes. */
    public static VirtualDeployment create(long seed, FaultPlan faultPlan, PolicySet policies) {
        return new VirtualDeployment(seed, faultPlan, policies);
    }

    /** Adds an entry; {@link #start} starts it. */
    public VirtualEntry addEntry(String vm, String domain) {
        VirtualEntry entry = new VirtualEntry(this, VmId.of(vm), FailureDomain.of(domain));
        mEntries.add(entry);
        return entry;
    }

    /** Adds an agent and its endpoint; {@link #start} starts the agent. */
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
        mLatestVersions.putIfAbsent(agent.mService, 1L);
        return agent;
    }

    /** Starts all processes. */
    public void start() {
        mAgents.forEach(VirtualProcess::start);
        mEntries.forEach(VirtualProcess::start);
    }

    /** Returns the clock that schedules all processes of the deployment. */
    public VirtualClock clock() {
        return mClock;
    }

    /** Returns the key-value service of the deployment. */
    public VirtualStore store() {
        return mStore;
    }

    /** Returns all entries, including stopped ones. */
    public List<VirtualEntry> entries() {
        return mEntries;
    }

    /** Returns all agents, including stopped ones. */
    public List<VirtualAgent> agents() {
        return mAgents;
    }

    /** Returns the newest version of a service's weights in the weight store. */
    public long latestVersion(ServiceName service) {
        return mLatestVersions.getOrDefault(service, 0L);
    }

    /** Publishes a version of a service's weights. */
    public void publish(ServiceName service, long version) {
        mLatestVersions.merge(service, version, Math::max);
    }

    /**
     * Returns an entry that accepts requests, as a load balancer in front of the entries chooses
     * it, or empty if there is none.
     *
     * @param turn selects among the entries, round robin
     */
    public Optional<VirtualEntry> selectEntry(int turn) {
        List<VirtualEntry> available =
                mEntries.stream().filter(e -> e.isAlive() && !e.isDraining()).toList();
        return available.isEmpty()
                ? Optional.empty()
                : Optional.of(available.get(Math.floorMod(turn, available.size())));
    }

    /** Stops all agents, endpoints and entries of a failure domain permanently. */
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

    /** Makes the key-value service unavailable for the given time. */
    public void startStoreOutage(long nanos) {
        mStore.setDownUntil(mClock.now() + nanos);
    }

    /** Sends a call to the entry that the load balancer selects. The sink is called once. */
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

    /** Applies a configuration at a selected entry, on top of the version adopted there. */
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

    /** Returns the names of live processes whose configuration version is below the given one. */
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

    /**
     * Returns the violations of guarantees that processes recorded themselves. Each text starts
     * with the number of the guarantee, or with "fence".
     */
    public List<String> findProcessViolations(long acceptedConfig) {
        List<String> violations = new ArrayList<>();
        processesBelowConfigVersion(acceptedConfig)
                .forEach(
                        name ->
                                violations.add(
                                        "9 " + name + " lacks configuration " + acceptedConfig));
        for (VirtualEntry entry : mEntries) {
            if (entry.hasRevertedConfig()) {
                violations.add("9 " + entry.vm() + " reverted to an older configuration");
            }
        }
        for (VirtualAgent agent : mAgents) {
            if (agent.hasRevertedConfig()) {
                violations.add("9 " + agent.vm() + " reverted to an older configuration");
            }
            if (agent.startsAfterDrain() > 0) {
                violations.add(
                        "7 " + agent.vm() + " started work more than 5 s after its drain began");
            }
            if (agent.engine().acceptedStaleOrders() > 0) {
                violations.add("fence: " + agent.vm() + " accepted an order with an old fence");
            }
        }
        return violations;
    }

    void removeFromVmList(VirtualProcess process) {
        mRemoved.add(process);
    }

    List<Peer> vmList() {
        if (mClock.now() < mVmListFrozenUntil) {
            return mFrozenVmList;
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
                    VirtualLink link = new VirtualLink(this, ++mLastLinkNumber, entry, agent);
                    entry.onLinkOpened(link);
                    agent.run(() -> agent.onLinkOpened(link));
                });
    }

    /** Forwards a request to the entry that holds a lease. */
    void forward(
            VirtualEntry from,
            LeaseHolder owner,
            StepRequest request,
            Consumer<StepReply> sink,
            Runnable onUnreachable) {
        VirtualEntry to =
                mEntries.stream()
                        .filter(entry -> entry.mVm.equals(owner.vm()))
                        .findFirst()
                        .orElse(null);
        boolean isOwner = to != null && to.isAlive() && to.mIdentity.isSameProcess(owner);
        Runnable lost = from.guarded(onUnreachable);
        if (!isOwner) {
            mClock.schedule(LATENCY_NANOS, lost);
            return;
        }
        Consumer<StepReply> replyHandler =
                reply -> mClock.schedule(LATENCY_NANOS, from.guarded(() -> sink.accept(reply)));
        mClock.schedule(
                LATENCY_NANOS, () -> to.handleStepRequest(request, true, replyHandler, lost));
    }

    /** Performs an action, and injects the fault that the plan has for it. */
    void performWithFault(InjectionPoint point, Participants participants, Runnable action) {
        Optional<FaultKind> fault = mFaultPlan.recordOccurrence(point);
        if (fault.isEmpty()) {
            action.run();
            return;
        }
        switch (fault.get()) {
            case ENTRY_CRASH_BEFORE, ENTRY_CRASH_AFTER, ENTRY_PAUSE, FENCE_IGNORED ->
                    injectEntryFault(fault.get(), participants, action);
            case LINK_CUT, ANSWER_LOST, DELAY, DUPLICATE, REORDER ->
                    injectMessageFault(fault.get(), participants, action);
            case STORE_DOWN, STORE_SLOW, STORE_ANSWER_LOST -> injectStoreFault(fault.get(), action);
            default -> injectAgentFault(fault.get(), participants, action);
        }
    }

    private void injectEntryFault(FaultKind kind, Participants participants, Runnable action) {
        VirtualEntry entry = participants.entry();
        if (entry == null) {
            action.run();
            return;
        }
        switch (kind) {
            case ENTRY_CRASH_BEFORE -> entry.crash();
            case ENTRY_CRASH_AFTER -> {
                action.run();
                entry.crash();
            }
            case FENCE_IGNORED -> {
                mAgents.forEach(agent -> agent.mEngine.ignoreFences());
                entry.pause(PAUSE_NANOS);
                entry.run(action);
            }
            default -> {
                entry.pause(PAUSE_NANOS);
                entry.run(action);
            }
        }
    }

    private void injectMessageFault(FaultKind kind, Participants participants, Runnable action) {
        VirtualLink link = participants.link();
        Runnable dropMessage = participants.dropClientMessage();
        switch (kind) {
            case LINK_CUT -> {
                if (link != null) {
                    link.close();
                } else if (dropMessage != null) {
                    dropMessage.run();
                }
            }
            case ANSWER_LOST -> {
                action.run();
                if (link != null) {
                    mClock.schedule(2 * LATENCY_NANOS, link::close);
                } else if (dropMessage != null) {
                    dropMessage.run();
                }
            }
            case DELAY -> {
                if (link != null) {
                    link.delay(DELAY_NANOS);
                    action.run();
                } else {
                    mClock.schedule(DELAY_NANOS, action);
                }
            }
            case REORDER -> {
                if (link != null) {
                    link.reorderNext();
                }
                action.run();
            }
            default -> {
                action.run();
                action.run();
            }
        }
    }

    private void injectStoreFault(FaultKind kind, Runnable action) {
        switch (kind) {
            case STORE_DOWN -> mStore.setDownUntil(mClock.now() + OUTAGE_NANOS);
            case STORE_SLOW -> mStore.setSlowUntil(mClock.now() + OUTAGE_NANOS);
            default -> mStore.dropResponses(FAULTY_ACTIONS);
        }
        action.run();
    }

    private void injectAgentFault(FaultKind kind, Participants participants, Runnable action) {
        VirtualAgent agent = participants.agent();
        if (agent == null) {
            action.run();
            return;
        }
        switch (kind) {
            case AGENT_CRASH_BEFORE -> agent.crash();
            case AGENT_CRASH_AFTER -> {
                action.run();
                agent.crash();
            }
            case AGENT_PAUSE -> {
                agent.pause(PAUSE_NANOS);
                agent.run(action);
            }
            case VM_LIST_STALE -> {
                mFrozenVmList = vmList();
                mVmListFrozenUntil = mClock.now() + STALE_VM_LIST_NANOS;
                action.run();
                agent.crash();
            }
            case ENDPOINT_CRASH -> {
                crashEndpoint(agent, RESTART_NANOS);
                action.run();
            }
            case TRUNCATED_STREAM -> {
                agent.mEngine.truncateStreams(FAULTY_ACTIONS);
                action.run();
            }
            default -> {
                agent.mEngine.failLoads(FAULTY_ACTIONS);
                action.run();
            }
        }
    }
}
