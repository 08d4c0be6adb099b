package org.ebonyrun.standin.virtual;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.attempt.AttemptLimits;
import org.ebonyrun.core.attempt.AttemptMachine;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.AttemptOutputs;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.Job;
import org.ebonyrun.core.config.ConfigMachine;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.config.ConfigOutputs;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.membership.HeartbeatPolicy;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.weights.SwapMachine;
import org.ebonyrun.core.weights.SwapOutputs;
import org.ebonyrun.core.weights.WeightMessage;
import org.ebonyrun.core.weights.WeightPlanner;
import org.ebonyrun.daemon.agent.EndpointListener;
import org.ebonyrun.daemon.store.FenceStore;
import org.jspecify.annotations.Nullable;

/** An agent's state machines beside a virtual endpoint. Not thread safe. */
public final class VirtualAgent extends VirtualProcess {
    private static final long TICK_PERIOD_NANOS = Nanos.ofMillis(50);
    private static final long HEARTBEAT_PERIOD_NANOS = Nanos.ofMillis(250);
    private static final long STATE_PERIOD_NANOS = Nanos.ofMillis(500);

    final VmId mVm;
    final ServiceName mService;
    final FailureDomain mDomain;
    final VirtualEngine mEngine;
    final Map<Long, VirtualLink> mLinks = new HashMap<>();
    AttemptMachine mAttempts;
    private HeartbeatPolicy mHeartbeats = new HeartbeatPolicy();
    private SwapMachine mSwap;
    private ConfigMachine mConfig;
    private long mConfigVersion;
    private boolean mReverted;
    private long mDrainStartedAt = Long.MAX_VALUE;
    private long mStartsAfterDrain;

    VirtualAgent(
            VirtualDeployment deployment,
            VmId vm,
            ServiceName service,
            FailureDomain domain,
            VirtualEngine engine) {
        super(deployment);
        mVm = vm;
        mService = service;
        mDomain = domain;
        mEngine = engine;
    }

    /** Returns the agent's VM. */
    public VmId vm() {
        return mVm;
    }

    /** Returns the endpoint beside the agent. */
    public VirtualEngine engine() {
        return mEngine;
    }

    long configVersion() {
        return mConfigVersion;
    }

    boolean hasRevertedConfig() {
        return mReverted;
    }

    boolean isDraining() {
        return mDrainStartedAt != Long.MAX_VALUE;
    }

    /** Returns the number of jobs started more than five seconds after the drain began. */
    long startsAfterDrain() {
        return mStartsAfterDrain;
    }

    @Override
    void onStart() {
        mEngine.setListener(new EndpointEvents());
        AttemptLimits limits =
                new AttemptLimits(
                        0, AttemptLimits.DEFAULT_MAX_QUEUED, AttemptLimits.DEFAULT_MAX_HELD_BYTES);
        mAttempts =
                AttemptMachine.create(
                        mVm, limits, mDeployment.mPolicies.attempts(), new AttemptHandler());
        mSwap = SwapMachine.create(mVm, new SwapHandler());
        mConfig = ConfigMachine.create(new ConfigHandler());
        mConfigVersion = 0;
        mHeartbeats = new HeartbeatPolicy();
        mEngine.reportState();
        readFenceFloor();
        scheduleEvery(TICK_PERIOD_NANOS, () -> mAttempts.onTick(now()));
        scheduleEvery(HEARTBEAT_PERIOD_NANOS, this::sendHeartbeat);
        scheduleEvery(STATE_PERIOD_NANOS, mEngine::reportState);
    }

    @Override
    void onCrash() {
        mEngine.stopAll();
        mLinks.values().forEach(VirtualLink::close);
        mLinks.clear();
    }

    /** Begins a graceful shutdown; the agent stops when it is idle. */
    void drain() {
        mDeployment.performWithFault(
                InjectionPoint.AGENT_DRAIN,
                Participants.ofAgent(this),
                () -> {
                    mDrainStartedAt = mClock.now();
                    mAttempts.onDrain();
                    sendHeartbeat();
                    stopWhenIdle();
                });
    }

    void onLinkOpened(VirtualLink link) {
        mLinks.put(link.mNumber, link);
        link.sendToEntry(new MembershipMessage.Heartbeat(mConfigVersion, mAttempts.load(now())));
    }

    void onLinkClosed(VirtualLink link) {
        mLinks.remove(link.mNumber);
        mAttempts.onLinkClosed(link.mNumber, now());
    }

    void onMessage(VirtualLink link, Message message) {
        long number = link.mNumber;
        if (message instanceof AttemptMessage attempt) {
            mAttempts.onMessage(number, attempt, now());
        } else if (message instanceof ConfigMessage config) {
            mConfig.onMessage(number, config);
        } else if (message instanceof MembershipMessage.Heartbeat heartbeat) {
            mConfig.onPeerVersion(number, heartbeat.configVersion());
        } else if (message instanceof WeightMessage.LoadOrder order) {
            mSwap.onOrder(number, order);
        }
    }

    private long now() {
        return mClock.now();
    }

    private void stopWhenIdle() {
        schedule(
                TICK_PERIOD_NANOS,
                () -> {
                    if (mAttempts.isIdle()) {
                        mDeployment.removeFromVmList(this);
                        stop();
                    } else {
                        stopWhenIdle();
                    }
                });
    }

    private void sendHeartbeat() {
        EndpointLoad load = mAttempts.load(now());
        if (mHeartbeats.markSentIfDue(load, now())) {
            Message heartbeat = new MembershipMessage.Heartbeat(mConfigVersion, load);
            mLinks.values().forEach(link -> link.sendToEntry(heartbeat));
        }
    }

    private void readFenceFloor() {
        Runnable retry = guarded(() -> schedule(STATE_PERIOD_NANOS, this::readFenceFloor));
        SwapMachine swap = mSwap;
        FenceStore.create(mDeployment.mStore)
                .read(WeightPlanner.leaseKey(mService))
                .thenAccept(
                        result ->
                                result.fold(
                                        fence -> {
                                            swap.onFenceFloor(fence);
                                            return true;
                                        },
                                        fault -> {
                                            retry.run();
                                            return false;
                                        }));
    }

    private void send(long number, Message message) {
        @Nullable VirtualLink link = mLinks.get(number);
        if (link != null) {
            link.sendToEntry(message);
        }
    }

    /** Passes the endpoint's events to the state machines, unless the agent is not alive. */
    private final class EndpointEvents implements EndpointListener {
        @Override
        public void onPiece(AttemptId id, byte[] data, int tokens, long version) {
            run(() -> mAttempts.onPiece(id, data, tokens, version, now()));
        }

        @Override
        public void onEnd(AttemptId id, int status, String contentType) {
            run(() -> mAttempts.onEnd(id, status, contentType, now()));
        }

        @Override
        public void onFailure(AttemptId id, boolean sent, FaultCode code, String detail) {
            run(() -> mAttempts.onFailure(id, sent, code, detail, now()));
        }

        @Override
        public void onState(long version, int slots) {
            run(() -> mAttempts.onEndpointState(version, slots, now()));
        }

        @Override
        public void onUnreachable() {
            run(mAttempts::onEndpointUnreachable);
        }

        @Override
        public void onLoadFinished(long version, Optional<Fault> fault) {
            run(
                    () -> {
                        mSwap.onLoaded(version, fault);
                        mEngine.reportState();
                    });
        }
    }

    /** Performs the outputs of the attempt machine. */
    private final class AttemptHandler implements AttemptOutputs {
        @Override
        public void send(long link, AttemptMessage message) {
            VirtualAgent.this.send(link, message);
        }

        @Override
        public void start(AttemptId id, Job job) {
            if (now() - mDrainStartedAt > Nanos.ofMillis(5_000)) {
                mStartsAfterDrain++;
            }
            VirtualRequest request = VirtualRequest.decode(job.body());
            mDeployment.performWithFault(
                    InjectionPoint.ENDPOINT_START,
                    Participants.ofAgent(VirtualAgent.this),
                    () -> mEngine.start(id, request));
        }

        @Override
        public void stop(AttemptId id) {
            mEngine.stop(id);
        }
    }

    /** Performs the outputs of the swap machine. */
    private final class SwapHandler implements SwapOutputs {
        @Override
        public void send(long link, WeightMessage message) {
            VirtualAgent.this.send(link, message);
        }

        @Override
        public void load(long version, long fence, String source) {
            mDeployment.performWithFault(
                    InjectionPoint.ENGINE_LOAD,
                    Participants.ofAgent(VirtualAgent.this),
                    () -> mEngine.load(version, fence));
        }

        @Override
        public void setSwapping(boolean swapping) {
            post(() -> mAttempts.onSwapping(swapping, now()));
        }
    }

    /** Performs the outputs of the configuration machine. */
    private final class ConfigHandler implements ConfigOutputs {
        @Override
        public void send(long link, ConfigMessage message) {
            VirtualAgent.this.send(link, message);
        }

        @Override
        public void onConfigAdopted(OperatorConfig config, String text) {
            mReverted |= config.version() < mConfigVersion;
            mConfigVersion = config.version();
        }
    }
}
