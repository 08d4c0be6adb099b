package org.ebonyrun.standin.virtual;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.core.config.ClassSpec;
import org.ebonyrun.core.config.ConfigMachine;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.membership.MembershipMachine;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.rollout.PromptGroup;
import org.ebonyrun.core.rollout.RolloutMachine;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.core.routing.Dispatcher;
import org.ebonyrun.core.routing.Work;
import org.ebonyrun.core.weights.WeightMessage;
import org.ebonyrun.core.weights.WeightPlanner;
import org.ebonyrun.daemon.store.ClaimStore;
import org.ebonyrun.daemon.store.ConfigStore;
import org.ebonyrun.daemon.store.LeaseClient;
import org.ebonyrun.daemon.store.ManifestStore;
import org.ebonyrun.daemon.store.StoredConfig;
import org.jspecify.annotations.Nullable;

/** An entry's decision code in a virtual world. Not thread safe. */
public final class VirtualEntry extends VirtualProcess {
    private static final long TICK_NANOS = Nanos.ofMillis(50);
    private static final long SLOW_TICK_NANOS = Nanos.ofMillis(100);
    private static final long WATCH_MILLIS = 5_000;
    private static final long PAUSE_NANOS = Nanos.ofMillis(1_000);
    private static final long MIN_TIMEOUT_MILLIS = 5_000;
    private static final long TIMEOUT_PER_TARGET = 4;
    private static final int ENTRIES_PER_ENDPOINT = 4;

    final VmId mVm;
    final FailureDomain mDomain;
    final Map<VmId, VirtualLink> mLinksByVm = new HashMap<>();
    final Map<Long, Consumer<StepReply>> mReplyHandlers = new HashMap<>();
    final Map<Long, Client> mCalls = new HashMap<>();
    private final Set<Runnable> mClients = new HashSet<>();
    LeaseHolder mIdentity;
    Dispatcher mDispatcher;
    RolloutMachine mRollout;
    MembershipMachine mMembership;
    WeightPlanner mPlanner;
    ConfigMachine mConfig;
    ManifestStore mManifests;
    LeaseClient mLeases;
    private ClaimStore mClaims;
    private ConfigStore mConfigs;
    OperatorConfig mCurrentConfig = OperatorConfig.empty();
    private long mConfigRevision;
    private boolean mReverted;
    private boolean mDraining;
    private long mIds;

    VirtualEntry(VirtualDeployment world, VmId vm, FailureDomain domain) {
        super(world);
        mVm = vm;
        mDomain = domain;
    }

    /** A call in progress, its claim if it has one, and its collected answer. */
    record Client(VirtualCall call, ClaimStore.@Nullable Claim claim, Consumer<CallOutcome> sink) {}

    /** Returns the entry's VM. */
    public VmId vm() {
        return mVm;
    }

    /** Returns the configuration version in force here. */
    public long configVersion() {
        return mCurrentConfig.version();
    }

    boolean hasRevertedConfig() {
        return mReverted;
    }

    boolean isDraining() {
        return mDraining;
    }

    @Override
    void onStart() {
        long incarnation = mDeployment.mRandom.nextLong();
        mIdentity = new LeaseHolder(mVm, incarnation, "10.0.0.1", 1);
        mCurrentConfig = OperatorConfig.empty();
        mDraining = false;
        mManifests = ManifestStore.create(mDeployment.mStore);
        mLeases = LeaseClient.create(mDeployment.mStore, mIdentity);
        mClaims = ClaimStore.create(mDeployment.mStore);
        mConfigs = ConfigStore.create(mDeployment.mStore);
        mDispatcher =
                Dispatcher.create(
                        incarnation,
                        mDeployment.mPolicies.chooser().apply(mDomain),
                        new VirtualDispatchOutputHandler(this));
        mRollout =
                RolloutMachine.create(
                        mIdentity,
                        VirtualEntry::body,
                        mDeployment.mPolicies.stragglers(),
                        new VirtualRolloutOutputHandler(this));
        mMembership =
                MembershipMachine.create(
                        mVm,
                        mDomain,
                        ENTRIES_PER_ENDPOINT,
                        new Random(incarnation),
                        new VirtualMembershipOutputHandler(this));
        mPlanner = WeightPlanner.create(mIdentity, new VirtualPlannerOutputHandler(this));
        mConfig = ConfigMachine.create(new VirtualConfigOutputHandler(this));
        scheduleEvery(TICK_NANOS, this::tick);
        scheduleEvery(SLOW_TICK_NANOS, this::slowTick);
        scheduleEvery(PAUSE_NANOS, () -> mMembership.onVmList(mDeployment.vmList(), now()));
        mMembership.onVmList(mDeployment.vmList(), now());
        readConfig();
    }

    @Override
    void onCrash() {
        List.copyOf(mLinksByVm.values()).forEach(VirtualLink::close);
        mLinksByVm.clear();
        mReplyHandlers.clear();
        mCalls.clear();
        List<Runnable> clients = List.copyOf(mClients);
        mClients.clear();
        clients.forEach(lost -> mClock.schedule(Nanos.PER_MILLI, lost));
    }

    long now() {
        return mClock.now();
    }

    long nextId() {
        return ++mIds;
    }

    /** Begins a graceful shutdown; the entry ends when nothing is open. */
    void drain() {
        mDeployment.performWithFault(
                InjectionPoint.ENTRY_DRAIN,
                Participants.ofEntry(this),
                () -> {
                    mDraining = true;
                    endWhenIdle();
                });
    }

    /** Takes a call, as the HTTP interface does. The sink is called once. */
    void handleCall(VirtualCall call, Consumer<CallOutcome> sink) {
        Runnable lost = () -> sink.accept(CallOutcome.lost());
        mClients.add(lost);
        Consumer<CallOutcome> once =
                end -> {
                    if (mClients.remove(lost)) {
                        sink.accept(end);
                    }
                };
        run(() -> begin(call, once));
    }

    /** Takes a request about a step, as the HTTP interface does. The sink is called once. */
    void handleStepRequest(
            StepRequest request, boolean forwarded, Consumer<StepReply> sink, Runnable onLost) {
        mClients.add(onLost);
        run(
                () -> {
                    if (mDraining) {
                        mClients.remove(onLost);
                        sink.accept(StepReply.failed(draining()));
                        return;
                    }
                    long id = nextId();
                    mReplyHandlers.put(
                            id,
                            reply -> {
                                if (mClients.remove(onLost)) {
                                    sink.accept(reply);
                                }
                            });
                    mRollout.onRequest(id, request, forwarded, now());
                });
    }

    /** Applies an operator's change. The sink is called once, unless the entry dies. */
    void applyConfig(
            long expected, String text, String nonce, Consumer<Result<StoredConfig>> sink) {
        run(
                () ->
                        mDeployment.performWithFault(
                                InjectionPoint.CONFIG_WRITE,
                                Participants.ofEntry(this),
                                () -> replaceConfig(expected, text, nonce, sink)));
    }

    void onLinkOpened(VirtualLink link) {
        VirtualLink older = mLinksByVm.put(link.mAgent.mVm, link);
        if (older != null) {
            older.close();
        }
        VmId vm = link.mAgent.mVm;
        mMembership.onConnected(vm, now());
        post(() -> mRollout.onAgentConnected(vm, link.mAgent.mService));
    }

    void onLinkClosed(VirtualLink link) {
        VmId vm = link.mAgent.mVm;
        if (!mLinksByVm.remove(vm, link)) {
            return;
        }
        mMembership.onDisconnected(vm, now());
        post(() -> mDispatcher.onLinkLost(vm, now()));
        post(() -> mRollout.onAgentLost(vm, now()));
        post(() -> mPlanner.onVersion(vm, link.mAgent.mService, 0, false));
    }

    void onMessage(VirtualLink link, Message message) {
        VmId vm = link.mAgent.mVm;
        if (message instanceof AttemptMessage.SampleContent
                || message instanceof AttemptMessage.HeldSamples) {
            mRollout.onMessage(vm, (AttemptMessage) message, now());
        } else if (message instanceof AttemptMessage attempt) {
            mDispatcher.onMessage(vm, attempt, now());
        } else if (message instanceof MembershipMessage.Heartbeat beat) {
            onHeartbeat(link, beat);
        } else if (message instanceof ConfigMessage config) {
            mConfig.onMessage(link.mNumber, config);
        } else if (message instanceof WeightMessage.LoadResult result) {
            mPlanner.onLoadResult(vm, link.mAgent.mService, result, now());
        }
    }

    private void onHeartbeat(VirtualLink link, MembershipMessage.Heartbeat beat) {
        VmId vm = link.mAgent.mVm;
        EndpointLoad load = beat.load();
        mMembership.onMessageReceived(vm, load != null && load.leaving(), now());
        mConfig.onPeerVersion(link.mNumber, beat.configVersion());
        if (load != null) {
            mDispatcher.onHeartbeat(vm, load, now());
            mPlanner.onVersion(vm, link.mAgent.mService, load.version(), true);
        }
    }

    void onConfigAdopted(OperatorConfig config) {
        mReverted |= config.version() < mCurrentConfig.version();
        mCurrentConfig = config;
    }

    private void tick() {
        mDispatcher.onTick(now());
        mRollout.onTick(now());
    }

    private void slowTick() {
        mMembership.onTick(now());
        mPlanner.onTick(now());
    }

    private void begin(VirtualCall call, Consumer<CallOutcome> sink) {
        ClassSpec spec = mCurrentConfig.classSpec(call.className()).orElse(null);
        if (mDraining || spec == null) {
            sink.accept(CallOutcome.failed(draining()));
            return;
        }
        long id = nextId();
        long timeout =
                Math.max(MIN_TIMEOUT_MILLIS, spec.targetLatencyMillis() * TIMEOUT_PER_TARGET);
        Work work =
                new Work(
                        id,
                        WorkKind.CALL,
                        spec.service(),
                        spec.name(),
                        spec.targetQuantile(),
                        now(),
                        now() + Nanos.ofMillis(spec.targetLatencyMillis()),
                        now() + Nanos.ofMillis(timeout),
                        call.idempotent(),
                        false,
                        "/",
                        "text/plain",
                        call.request().encode(),
                        call.request().prefix().hashCode(),
                        null,
                        0);
        if (call.idempotencyKey() == null) {
            mCalls.put(id, new Client(call, null, sink));
            mDispatcher.submit(work, now());
            return;
        }
        mDeployment.performWithFault(
                InjectionPoint.CLAIM_WRITE,
                Participants.ofEntry(this),
                () -> claim(call, work, sink));
    }

    private void claim(VirtualCall call, Work work, Consumer<CallOutcome> sink) {
        String nonce = Long.toHexString(mDeployment.mRandom.nextLong());
        whenDone(
                mClaims.claim(call.className(), String.valueOf(call.idempotencyKey()), nonce),
                result -> claimed(result, call, work, sink));
    }

    private void claimed(
            Result<ClaimStore.Claim> result,
            VirtualCall call,
            Work work,
            Consumer<CallOutcome> sink) {
        result.fold(
                claim -> {
                    mCalls.put(work.id(), new Client(call, claim, sink));
                    mDispatcher.submit(work, now());
                    return true;
                },
                fault -> {
                    sink.accept(CallOutcome.failed(fault));
                    return false;
                });
    }

    void failCall(Work work, Fault fault) {
        Client client = mCalls.remove(work.id());
        if (client == null) {
            return;
        }
        if (client.claim() != null && fault.isNotRun()) {
            mClaims.release(client.claim());
        }
        client.sink().accept(CallOutcome.failed(fault));
    }

    void completeCall(Work work, byte[] body, int tokens) {
        Client client = mCalls.remove(work.id());
        if (client != null) {
            String text = new String(body, StandardCharsets.UTF_8);
            client.sink().accept(CallOutcome.answered(text, tokens));
        }
    }

    private void readConfig() {
        whenDone(mConfigs.read(), this::onConfig);
    }

    private void onConfig(Result<ConfigStore.CurrentConfig> result) {
        boolean ok =
                result.fold(
                        current -> {
                            mConfigRevision = current.revision();
                            StoredConfig config = current.config();
                            mConfig.onConfig(config.version(), config.text());
                            return true;
                        },
                        fault -> false);
        if (ok) {
            whenDone(mConfigs.watch(mConfigRevision, WATCH_MILLIS), this::onConfig);
        } else {
            schedule(PAUSE_NANOS, this::readConfig);
        }
    }

    private void replaceConfig(
            long expected, String text, String nonce, Consumer<Result<StoredConfig>> sink) {
        whenDone(
                mConfigs.replace(expected, "operator", text, nonce),
                result -> {
                    result.map(this::adopt);
                    sink.accept(result);
                });
    }

    private boolean adopt(StoredConfig config) {
        mConfig.onConfig(config.version(), config.text());
        return true;
    }

    private void endWhenIdle() {
        schedule(
                TICK_NANOS,
                () -> {
                    if (!mClients.isEmpty()) {
                        endWhenIdle();
                        return;
                    }
                    mRollout.handOver(now()).forEach(mLeases::release);
                    mDeployment.removeFromVmList(this);
                    stop();
                });
    }

    private static byte[] body(PromptGroup group) {
        String[] prompt = group.prompt().split("#");
        int promptTokens = prompt.length > 1 ? Integer.parseInt(prompt[1]) : 0;
        return new VirtualRequest(group.prompt(), group.prompt(), promptTokens, group.maxTokens())
                .encode();
    }

    private static Fault draining() {
        return Fault.notRun(FaultCode.DRAINING, "entry", "", "the entry is leaving")
                .withRetryAfterMillis(200);
    }

    /** Returns the links to agents. */
    List<VirtualLink> links() {
        return new ArrayList<>(mLinksByVm.values());
    }
}
