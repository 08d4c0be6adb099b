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

/** An entry's state machines in a virtual deployment. Not thread safe. */
public final class VirtualEntry extends VirtualProcess {
    private static final long TICK_PERIOD_NANOS = Nanos.ofMillis(50);
    private static final long SLOW_TICK_PERIOD_NANOS = Nanos.ofMillis(100);
    private static final long WATCH_MILLIS = 5_000;
    private static final long POLL_PERIOD_NANOS = Nanos.ofMillis(1_000);
    private static final long MIN_TIMEOUT_MILLIS = 5_000;
    private static final long TIMEOUT_TARGET_RATIO = 4;
    private static final int ENTRIES_PER_ENDPOINT = 4;

    final VmId mVm;
    final FailureDomain mDomain;
    final Map<VmId, VirtualLink> mLinksByVm = new HashMap<>();
    final Map<Long, Consumer<StepReply>> mReplyHandlers = new HashMap<>();
    final Map<Long, OpenCall> mCalls = new HashMap<>();
    private final Set<Runnable> mOpenRequests = new HashSet<>();
    LeaseHolder mIdentity;
    Dispatcher mDispatcher;
    RolloutMachine mRollout;
    MembershipMachine mMembership;
    WeightPlanner mPlanner;
    ConfigMachine mConfig;
    ManifestStore mManifests;
    LeaseClient mLeases;
    private ClaimStore mClaimStore;
    private ConfigStore mConfigStore;
    OperatorConfig mCurrentConfig = OperatorConfig.empty();
    private long mConfigRevision;
    private boolean mReverted;
    private boolean mDraining;
    private long mLastId;

    VirtualEntry(VirtualDeployment deployment, VmId vm, FailureDomain domain) {
        super(deployment);
        mVm = vm;
        mDomain = domain;
    }

    /** A call in progress, its claim if it has one, and the receiver of its outcome. */
    record OpenCall(
            VirtualCall call, ClaimStore.@Nullable Claim claim, Consumer<CallOutcome> sink) {}

    /** Returns the entry's VM. */
    public VmId vm() {
        return mVm;
    }

    /** Returns the configuration version that this entry has adopted. */
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
        mClaimStore = ClaimStore.create(mDeployment.mStore);
        mConfigStore = ConfigStore.create(mDeployment.mStore);
        mDispatcher =
                Dispatcher.create(
                        incarnation,
                        mDeployment.mPolicies.chooser().apply(mDomain),
                        new VirtualDispatchOutputHandler(this));
        mRollout =
                RolloutMachine.create(
                        mIdentity,
                        VirtualEntry::encodeRequest,
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
        scheduleEvery(TICK_PERIOD_NANOS, this::onTick);
        scheduleEvery(SLOW_TICK_PERIOD_NANOS, this::onSlowTick);
        scheduleEvery(POLL_PERIOD_NANOS, () -> mMembership.onVmList(mDeployment.vmList(), now()));
        mMembership.onVmList(mDeployment.vmList(), now());
        readConfig();
    }

    @Override
    void onCrash() {
        List.copyOf(mLinksByVm.values()).forEach(VirtualLink::close);
        mLinksByVm.clear();
        mReplyHandlers.clear();
        mCalls.clear();
        List<Runnable> openRequests = List.copyOf(mOpenRequests);
        mOpenRequests.clear();
        openRequests.forEach(lost -> mClock.schedule(Nanos.PER_MILLI, lost));
    }

    long now() {
        return mClock.now();
    }

    long nextId() {
        return ++mLastId;
    }

    /** Begins a graceful shutdown; the entry stops when no request is open. */
    void drain() {
        mDeployment.performWithFault(
                InjectionPoint.ENTRY_DRAIN,
                Participants.ofEntry(this),
                () -> {
                    mDraining = true;
                    stopWhenIdle();
                });
    }

    /** Handles a call, as the HTTP interface does. The sink is called once. */
    void handleCall(VirtualCall call, Consumer<CallOutcome> sink) {
        Runnable lost = () -> sink.accept(CallOutcome.lost());
        mOpenRequests.add(lost);
        Consumer<CallOutcome> once =
                outcome -> {
                    if (mOpenRequests.remove(lost)) {
                        sink.accept(outcome);
                    }
                };
        run(() -> startCall(call, once));
    }

    /**
     * Handles a request about a step, as the HTTP interface does. Calls either the sink or, if the
     * entry stops first, {@code onLost}.
     */
    void handleStepRequest(
            StepRequest request, boolean forwarded, Consumer<StepReply> sink, Runnable onLost) {
        mOpenRequests.add(onLost);
        run(
                () -> {
                    if (mDraining) {
                        mOpenRequests.remove(onLost);
                        sink.accept(StepReply.failed(drainingFault()));
                        return;
                    }
                    long id = nextId();
                    mReplyHandlers.put(
                            id,
                            reply -> {
                                if (mOpenRequests.remove(onLost)) {
                                    sink.accept(reply);
                                }
                            });
                    mRollout.onRequest(id, request, forwarded, now());
                });
    }

    /** Applies an operator's change. The sink is called once, unless the entry stops first. */
    void applyConfig(
            long expectedVersion, String text, String nonce, Consumer<Result<StoredConfig>> sink) {
        run(
                () ->
                        mDeployment.performWithFault(
                                InjectionPoint.CONFIG_WRITE,
                                Participants.ofEntry(this),
                                () -> replaceConfig(expectedVersion, text, nonce, sink)));
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
        } else if (message instanceof MembershipMessage.Heartbeat heartbeat) {
            onHeartbeat(link, heartbeat);
        } else if (message instanceof ConfigMessage config) {
            mConfig.onMessage(link.mNumber, config);
        } else if (message instanceof WeightMessage.LoadResult result) {
            mPlanner.onLoadResult(vm, link.mAgent.mService, result, now());
        }
    }

    private void onHeartbeat(VirtualLink link, MembershipMessage.Heartbeat heartbeat) {
        VmId vm = link.mAgent.mVm;
        EndpointLoad load = heartbeat.load();
        mMembership.onMessageReceived(vm, load != null && load.leaving(), now());
        mConfig.onPeerVersion(link.mNumber, heartbeat.configVersion());
        if (load != null) {
            mDispatcher.onHeartbeat(vm, load, now());
            mPlanner.onVersion(vm, link.mAgent.mService, load.version(), true);
        }
    }

    void onConfigAdopted(OperatorConfig config) {
        mReverted |= config.version() < mCurrentConfig.version();
        mCurrentConfig = config;
    }

    private void onTick() {
        mDispatcher.onTick(now());
        mRollout.onTick(now());
    }

    private void onSlowTick() {
        mMembership.onTick(now());
        mPlanner.onTick(now());
    }

    private void startCall(VirtualCall call, Consumer<CallOutcome> sink) {
        ClassSpec spec = mCurrentConfig.classSpec(call.className()).orElse(null);
        if (mDraining || spec == null) {
            sink.accept(CallOutcome.failed(drainingFault()));
            return;
        }
        long id = nextId();
        long timeout =
                Math.max(MIN_TIMEOUT_MILLIS, spec.targetLatencyMillis() * TIMEOUT_TARGET_RATIO);
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
            mCalls.put(id, new OpenCall(call, null, sink));
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
                mClaimStore.claim(call.className(), String.valueOf(call.idempotencyKey()), nonce),
                result -> onClaimResult(result, call, work, sink));
    }

    private void onClaimResult(
            Result<ClaimStore.Claim> result,
            VirtualCall call,
            Work work,
            Consumer<CallOutcome> sink) {
        result.fold(
                claim -> {
                    mCalls.put(work.id(), new OpenCall(call, claim, sink));
                    mDispatcher.submit(work, now());
                    return true;
                },
                fault -> {
                    sink.accept(CallOutcome.failed(fault));
                    return false;
                });
    }

    void failCall(Work work, Fault fault) {
        OpenCall call = mCalls.remove(work.id());
        if (call == null) {
            return;
        }
        if (call.claim() != null && fault.isNotRun()) {
            mClaimStore.release(call.claim());
        }
        call.sink().accept(CallOutcome.failed(fault));
    }

    void completeCall(Work work, byte[] body, int tokens) {
        OpenCall call = mCalls.remove(work.id());
        if (call != null) {
            String text = new String(body, StandardCharsets.UTF_8);
            call.sink().accept(CallOutcome.answered(text, tokens));
        }
    }

    private void readConfig() {
        whenDone(mConfigStore.read(), this::onConfigRead);
    }

    private void onConfigRead(Result<ConfigStore.CurrentConfig> result) {
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
            whenDone(mConfigStore.watch(mConfigRevision, WATCH_MILLIS), this::onConfigRead);
        } else {
            schedule(POLL_PERIOD_NANOS, this::readConfig);
        }
    }

    private void replaceConfig(
            long expectedVersion, String text, String nonce, Consumer<Result<StoredConfig>> sink) {
        whenDone(
                mConfigStore.replace(expectedVersion, "operator", text, nonce),
                result -> {
                    result.map(this::applyStored);
                    sink.accept(result);
                });
    }

    private boolean applyStored(StoredConfig config) {
        mConfig.onConfig(config.version(), config.text());
        return true;
    }

    private void stopWhenIdle() {
        schedule(
                TICK_PERIOD_NANOS,
                () -> {
                    if (!mOpenRequests.isEmpty()) {
                        stopWhenIdle();
                        return;
                    }
                    mRollout.handOver(now()).forEach(mLeases::release);
                    mDeployment.removeFromVmList(this);
                    stop();
                });
    }

    private static byte[] encodeRequest(PromptGroup group) {
        String[] prompt = group.prompt().split("#");
        int promptTokens = prompt.length > 1 ? Integer.parseInt(prompt[1]) : 0;
        return new VirtualRequest(group.prompt(), group.prompt(), promptTokens, group.maxTokens())
                .encode();
    }

    private static Fault drainingFault() {
        return Fault.notRun(FaultCode.DRAINING, "entry", "", "the entry is draining")
                .withRetryAfterMillis(200);
    }

    /** Returns a copy of the list of links to agents. */
    List<VirtualLink> links() {
        return new ArrayList<>(mLinksByVm.values());
    }
}
