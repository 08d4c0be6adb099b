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
 * The parts of one entry, wired together.
 *
 * <p>Thread safe: all fields are final or concurrent, and each machine is touched on its duty's
 * thread only. The duties' threads start after every field is set; a link that opens before that is
 * closed, and its peer tries again.
 */
final class EntryContext implements AutoCloseable {
    private static final int RING = 65_536;
    private static final int SMALL_RING = 4_096;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long SLOW_TICK_NANOS = Nanos.ofMillis(100);

    final DaemonSettings mSettings;
    final NodeMetrics mMetrics = new NodeMetrics();
    final AsyncHttpClient mCaller;
    final VmDirectory mDirectory;
    final WeightStore mWeights;
    final ManifestStore mManifests;
    final ClaimStore mClaims;
    final ConfigStore mConfigs;
    final LeaseClient mLeases;
    final LinkRegistry mBook;
    final LinkTransport mTransport;
    final ScheduledExecutorService mTimer;
    final StepReplies mReplies;
    final long mIncarnation = new SecureRandom().nextLong();
    final AtomicLong mWorkIds = new AtomicLong();
    final Map<Long, CallSink> mSinks = new ConcurrentHashMap<>();
    final Map<VmId, PeerLink> mByVm = new ConcurrentHashMap<>();
    final TargetMonitor mTargets = new TargetMonitor();
    final Dispatcher mDispatcher;
    final RolloutMachine mRollout;
    final ConfigMachine mConfig;
    final MembershipMachine mMembership;
    final WeightPlanner mPlanner;
    final EventLoop<Command<Dispatcher>> mDispatchDuty;
    final EventLoop<Command<RolloutMachine>> mRolloutDuty;
    final EventLoop<Command<ConfigMachine>> mConfigDuty;
    final EventLoop<Command<MembershipMachine>> mMembershipDuty;
    final EventLoop<Command<WeightPlanner>> mPlannerDuty;
    final int mLinkPort;
    volatile OperatorConfig mCurrent = OperatorConfig.empty();
    volatile boolean mDraining;
    volatile boolean mStarted;

    EntryContext(DaemonSettings settings) throws IOException {
        mSettings = settings;
        mCaller = AsyncHttpClient.start();
        KeyValueStore store =
                ResilientKeyValueStore.create(
                        new CountedStore(
                                HttpKeyValueStore.create(mCaller, settings.platform().keyValue()),
                                mMetrics),
                        MonotonicClock.system(),
                        new Random(mIncarnation));
        mDirectory = HttpVmDirectory.create(mCaller, settings.platform().vms());
        mWeights = HttpWeightStore.create(mCaller, settings.platform().weights());
        mManifests = ManifestStore.create(store);
        mClaims = ClaimStore.create(store);
        mConfigs = ConfigStore.create(store);
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "entry-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mReplies = new StepReplies(this);
        mBook = LinkRegistry.create(hello(settings), new EntryLinks(this));
        mTransport = LinkTransport.start("links", WireTypes.codec(), mBook);
        mLinkPort = mTransport.listen(settings.linkListen().host(), settings.linkListen().port());
        LeaseHolder self =
                new LeaseHolder(
                        settings.vm(), mIncarnation, settings.linkListen().host(), mLinkPort);
        mLeases = LeaseClient.create(store, self);
        mDispatcher =
                Dispatcher.create(
                        mIncarnation,
                        LeastLoadChooser.create(settings.failureDomain()),
                        new DispatchEffects(this));
        mRollout =
                RolloutMachine.create(
                        self,
                        Completions::sampleBody,
                        StragglerPolicy.tail(),
                        new RolloutEffects(this));
        mConfig = ConfigMachine.create(new ConfigEffects(this));
        mMembership =
                MembershipMachine.create(
                        settings.vm(),
                        settings.failureDomain(),
                        settings.entriesPerEndpoint(),
                        new Random(mIncarnation),
                        new MembershipEffects(this));
        mPlanner = WeightPlanner.create(self, new PlannerEffects(this));
        mDispatchDuty = duty("dispatch", RING, mDispatcher, TICK_NANOS);
        mRolloutDuty = duty("rollout", RING, mRollout, TICK_NANOS);
        mConfigDuty = duty("config", SMALL_RING, mConfig, SLOW_TICK_NANOS);
        mMembershipDuty = duty("membership", SMALL_RING, mMembership, SLOW_TICK_NANOS);
        mPlannerDuty = duty("weights", SMALL_RING, mPlanner, SLOW_TICK_NANOS);
        mMetrics.registerRingGauge(duties());
        duties().forEach(EventLoop::launch);
        mStarted = true;
    }

    /** Returns all duties of the entry. */
    List<EventLoop<?>> duties() {
        return List.of(mDispatchDuty, mRolloutDuty, mConfigDuty, mMembershipDuty, mPlannerDuty);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mBook.closeAll();
        mTransport.close();
        duties().forEach(EventLoop::close);
        mCaller.close();
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

    private static <S extends Ticking> EventLoop<Command<S>> duty(
            String name, int ring, S machine, long tickNanos) {
        return EventLoop.create(
                name, ring, StateMachineHandler.of(machine), MonotonicClock.system(), tickNanos);
    }
}
