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

/** An agent's decision code beside a virtual endpoint. Not thread safe. */
public final class VirtualAgent extends VirtualProcess {
    private static final long TICK_NANOS = Nanos.ofMillis(50);
    private static final long HEARTBEAT_NANOS = Nanos.ofMillis(250);
    private static final long STATE_NANOS = Nanos.ofMillis(500);

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
    private long mDrainedAt = Long.MAX_VALUE;
    private long mStartsAfterDrain;

    VirtualAgent(
            VirtualDeployment world,
            VmId vm,
            ServiceName service,
            FailureDomain domain,
            VirtualEngine engine) {
        super(world);
        mVm = vm;
        mService = service;
        mDomain = domain;
        mEngine = engine;
    }

    /** Returns the agent's VM. */
    public VmId vm() {
        return mVm;
    }

    /** Returns the endpoint. */
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
        return mDrainedAt != Long.MAX_VALUE;
    }

    /** Returns how many jobs were started more than five seconds after the drain began. */
    long startsAfterDrain() {
        return mStartsAfterDrain;
    }

    @Override
    void onStart() {
        mEngine.setListener(new Events());
        AttemptLimits limits =
                new AttemptLimits(
                        0, AttemptLimits.DEFAULT_MAX_QUEUED, AttemptLimits.DEFAULT_MAX_HELD_BYTES);
        mAttempts =
                AttemptMachine.create(
                        mVm, limits, mDeployment.mPolicies.attempts(), new Attempts());
        mSwap = SwapMachine.create(mVm, new Swaps());
        mConfig = ConfigMachine.create(new Configs());
        mConfigVersion = 0;
        mHeartbeats = new HeartbeatPolicy();
        mEngine.reportState();
        learnFloor();
        scheduleEvery(TICK_NANOS, () -> mAttempts.onTick(now()));
        scheduleEvery(HEARTBEAT_NANOS, this::heartbeat);
        scheduleEvery(STATE_NANOS, mEngine::reportState);
    }

    @Override
    void onCrash() {
        mEngine.stopAll();
        mLinks.values().forEach(VirtualLink::close);
        mLinks.clear();
    }

    /** Begins a graceful shutdown; the agent ends when it is idle. */
    void drain() {
        mDeployment.performWithFault(
                InjectionPoint.AGENT_DRAIN,
                Participants.ofAgent(this),
                () -> {
                    mDrainedAt = mClock.now();
                    mAttempts.onDrain();
                    heartbeat();
                    endWhenIdle();
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
        } else if (message instanceof MembershipMessage.Heartbeat beat) {
            mConfig.onPeerVersion(number, beat.configVersion());
        } else if (message instanceof WeightMessage.LoadOrder order) {
            mSwap.onOrder(number, order);
        }
    }

    private long now() {
        return mClock.now();
    }

    private void endWhenIdle() {
        schedule(
                TICK_NANOS,
                () -> {
                    if (mAttempts.isIdle()) {
                        mDeployment.removeFromVmList(this);
                        stop();
                    } else {
                        endWhenIdle();
                    }
                });
    }

    private void heartbeat() {
        EndpointLoad load = mAttempts.load(now());
        if (mHeartbeats.markSentIfDue(load, now())) {
            Message beat = new MembershipMessage.Heartbeat(mConfigVersion, load);
            mLinks.values().forEach(link -> link.sendToEntry(beat));
        }
    }

    private void learnFloor() {
        Runnable again = guarded(() -> schedule(STATE_NANOS, this::learnFloor));
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
                                            again.run();
                                            return false;
                                        }));
    }

    private void send(long number, Message message) {
        @Nullable VirtualLink link = mLinks.get(number);
        if (link != null) {
            link.sendToEntry(message);
        }
    }

    /** Hands what the endpoint does to the machines, unless the agent has died since. */
    private final class Events implements EndpointListener {
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

    /** Carries out what the attempt duty decides. */
    private final class Attempts implements AttemptOutputs {
        @Override
        public void send(long link, AttemptMessage message) {
            VirtualAgent.this.send(link, message);
        }

        @Override
        public void start(AttemptId id, Job job) {
            if (now() - mDrainedAt > Nanos.ofMillis(5_000)) {
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

    /** Carries out what the weight duty decides. */
    private final class Swaps implements SwapOutputs {
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

    /** Carries out what the configuration duty decides. */
    private final class Configs implements ConfigOutputs {
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
