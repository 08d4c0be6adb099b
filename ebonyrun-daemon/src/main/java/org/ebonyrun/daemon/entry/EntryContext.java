package org.ebonyrun.daemon.entry;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonyrun.base.eventloop.Command;
import org.ebonyrun.base.eventloop.EventLoop;
import org.ebonyrun.base.eventloop.StateMachineHandler;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.base.wire.LinkTransport;
import org.ebonyrun.core.config.ConfigMachine;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.membership.MembershipMachine;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.rollout.RolloutMachine;
import org.ebonyrun.core.rollout.StragglerPolicy;
import org.ebonyrun.core.routing.Dispatcher;
import org.ebonyrun.core.routing.LeastLoadChooser;
import org.ebonyrun.core.routing.TargetMonitor;
import org.ebonyrun.core.weights.WeightPlanner;
import org.ebonyrun.daemon.DaemonSettings;
import org.ebonyrun.daemon.admin.NodeMetrics;
import org.ebonyrun.daemon.link.LinkRegistry;
import org.ebonyrun.daemon.link.PeerLink;
import org.ebonyrun.daemon.link.WireTypes;
import org.ebonyrun.daemon.store.ClaimStore;
import org.ebonyrun.daemon.store.ConfigStore;
import org.ebonyrun.daemon.store.LeaseClient;
import org.ebonyrun.daemon.store.ManifestStore;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.kv.HttpKeyValueStore;
import org.ebonyrun.ports.kv.KeyValueStore;
import org.ebonyrun.ports.kv.ResilientKeyValueStore;
import org.ebonyrun.ports.vm.HttpVmDirectory;
import org.ebonyrun.ports.vm.VmDirectory;
import org.ebonyrun.ports.weight.HttpWeightStore;
import org.ebonyrun.ports.weight.WeightStore;

/**
 * Creates and connects the components of one entry.
 *
 * <p>Thread safe: all fields are final, volatile or concurrent, and each state machine is accessed
 * on its event loop only. The event loops start after all fields are set. A link that opens earlier
 * is closed, and its peer reconnects.
 */
final class EntryContext implements AutoCloseable {
    private static final int RING_SIZE = 65_536;
    private static final int SMALL_RING_SIZE = 4_096;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long SLOW_TICK_NANOS = Nanos.ofMillis(100);

    final DaemonSettings mSettings;
    final NodeMetrics mMetrics = new NodeMetrics();
    final AsyncHttpClient mHttpClient;
    final VmDirectory mVmDirectory;
    final WeightStore mWeightStore;
    final ManifestStore mManifestStore;
    final ClaimStore mClaimStore;
    final ConfigStore mConfigStore;
    final LeaseClient mLeaseClient;
    final LinkRegistry mLinkRegistry;
    final LinkTransport mTransport;
    final ScheduledExecutorService mTimer;
    final PendingStepRequests mPendingStepRequests;
    final long mIncarnation = new SecureRandom().nextLong();
    final AtomicLong mWorkIds = new AtomicLong();
    final Map<Long, CallListener> mCallListeners = new ConcurrentHashMap<>();
    final Map<VmId, PeerLink> mPeersByVm = new ConcurrentHashMap<>();
    final TargetMonitor mTargetMonitor = new TargetMonitor();
    final Dispatcher mDispatcher;
    final RolloutMachine mRollout;
    final ConfigMachine mConfig;
    final MembershipMachine mMembership;
    final WeightPlanner mPlanner;
    final EventLoop<Command<Dispatcher>> mDispatchLoop;
    final EventLoop<Command<RolloutMachine>> mRolloutLoop;
    final EventLoop<Command<ConfigMachine>> mConfigLoop;
    final EventLoop<Command<MembershipMachine>> mMembershipLoop;
    final EventLoop<Command<WeightPlanner>> mPlannerLoop;
    final int mLinkPort;
    volatile OperatorConfig mCurrentConfig = OperatorConfig.empty();
    volatile boolean mDraining;
    volatile boolean mStarted;

    EntryContext(DaemonSettings settings) throws IOException {
        mSettings = settings;
        mHttpClient = AsyncHttpClient.start();
        KeyValueStore store =
                ResilientKeyValueStore.create(
                        new InstrumentedKeyValueStore(
                                HttpKeyValueStore.create(
                                        mHttpClient, settings.platform().keyValue()),
                                mMetrics),
                        MonotonicClock.system(),
                        new Random(mIncarnation));
        mVmDirectory = HttpVmDirectory.create(mHttpClient, settings.platform().vms());
        mWeightStore = HttpWeightStore.create(mHttpClient, settings.platform().weights());
        mManifestStore = ManifestStore.create(store);
        mClaimStore = ClaimStore.create(store);
        mConfigStore = ConfigStore.create(store);
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "entry-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mPendingStepRequests = new PendingStepRequests(this);
        mLinkRegistry = LinkRegistry.create(hello(settings), new EntryPeerListener(this));
        mTransport = LinkTransport.start("links", WireTypes.codec(), mLinkRegistry);
        mLinkPort = mTransport.listen(settings.linkListen().host(), settings.linkListen().port());
        LeaseHolder self =
                new LeaseHolder(
                        settings.vm(), mIncarnation, settings.linkListen().host(), mLinkPort);
        mLeaseClient = LeaseClient.create(store, self);
        mDispatcher =
                Dispatcher.create(
                        mIncarnation,
                        LeastLoadChooser.create(settings.failureDomain()),
                        new DispatchOutputHandler(this));
        mRollout =
                RolloutMachine.create(
                        self,
                        CompletionsCodec::encodeSampleRequest,
                        StragglerPolicy.hedgeTail(),
                        new RolloutOutputHandler(this));
        mConfig = ConfigMachine.create(new ConfigOutputHandler(this));
        mMembership =
                MembershipMachine.create(
                        settings.vm(),
                        settings.failureDomain(),
                        settings.entriesPerEndpoint(),
                        new Random(mIncarnation),
                        new MembershipOutputHandler(this));
        mPlanner = WeightPlanner.create(self, new PlannerOutputHandler(this));
        mDispatchLoop = newLoop("dispatch", RING_SIZE, mDispatcher, TICK_NANOS);
        mRolloutLoop = newLoop("rollout", RING_SIZE, mRollout, TICK_NANOS);
        mConfigLoop = newLoop("config", SMALL_RING_SIZE, mConfig, SLOW_TICK_NANOS);
        mMembershipLoop = newLoop("membership", SMALL_RING_SIZE, mMembership, SLOW_TICK_NANOS);
        mPlannerLoop = newLoop("weights", SMALL_RING_SIZE, mPlanner, SLOW_TICK_NANOS);
        mMetrics.registerRingGauge(eventLoops());
        eventLoops().forEach(EventLoop::launch);
        mStarted = true;
    }

    /** Returns all event loops of the entry. */
    List<EventLoop<?>> eventLoops() {
        return List.of(mDispatchLoop, mRolloutLoop, mConfigLoop, mMembershipLoop, mPlannerLoop);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mLinkRegistry.closeAll();
        mTransport.close();
        eventLoops().forEach(EventLoop::close);
        mHttpClient.close();
    }

    private MembershipMessage.Hello hello(DaemonSettings settings) {
        return new MembershipMessage.Hello(
                settings.vm(),
                DaemonSettings.ROLE_ENTRY,
                "",
                settings.failureDomain(),
                mIncarnation,
                "");
    }

    private static <S extends Ticking> EventLoop<Command<S>> newLoop(
            String name, int ringSize, S machine, long tickNanos) {
        return EventLoop.create(
                name,
                ringSize,
                StateMachineHandler.of(machine),
                MonotonicClock.system(),
                tickNanos);
    }
}
