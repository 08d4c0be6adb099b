package org.ebonyrun.daemon.hosted;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ebonyrun.base.eventloop.EventHandler;
import org.ebonyrun.base.eventloop.EventLoop;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.LimitNotice;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.RouteTable;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.workspace.Workspaces;
import org.ebonyrun.platform.EndpointDecoder;
import org.ebonyrun.platform.OperatorDecoder;
import org.ebonyrun.platform.OperatorEvent;
import org.ebonyrun.platform.StoreClient;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.FrontLimits;
import org.ebonyrun.ports.http.FrontServer;
import org.ebonyrun.ports.http.IoTransports;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.jspecify.annotations.Nullable;

/**
 * An entry that calls endpoints and the shared store directly, without agents.
 *
 * <p>One I/O thread reads and writes all sockets. One event loop owns all state and makes all
 * decisions; it receives tasks through a bounded ring. Thread safe: {@link #drain} may be called
 * from any thread.
 */
public final class HostedEntry implements HostedContext, EventHandler<Runnable>, Closeable {
    private static final int RING_CAPACITY = 16_384;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long SWEEP_NANOS = Nanos.ofMillis(500);
    // After an outage of the store of this length, the entry reports that it is not ready, so that
    // callers are sent to another entry.
    private static final long MAX_STORE_OUTAGE_NANOS = Nanos.ofMillis(1_500);
    // An event loop without a tick for this long does not serve requests.
    private static final long MAX_TICK_DELAY_NANOS = Nanos.ofMillis(2_000);
    private static final long DRAIN_POLL_MILLIS = 50;
    // New requests may still arrive until the platform has seen that the entry is not ready.
    private static final long DRAIN_IDLE_NANOS = Nanos.ofMillis(1_000);
    private static final long MIN_DRAIN_NANOS = Nanos.ofMillis(3_000);
    // Fraction of the grace period in which steps may still finish here; after it, they are handed
    // over.
    private static final double FINISH_FRACTION = 0.5;
    // Fraction of the grace period that the drain may take in all.
    private static final double DRAIN_FRACTION = 0.85;
    // The index of the watch that reads the configuration.
    private static final int OPERATOR_WATCH = 0;

    private final EntryMemory mMemory = EntryMemory.ofHeap();
    private volatile HostedSettings mSettings;
    private final EventLog mLog;
    private final EventLoop<Runnable> mEventLoop;
    private final ProcessName mProcessName;
    private final ScheduledTasks mScheduledTasks = new ScheduledTasks();
    private final EntryMetrics mMetrics = new EntryMetrics();
    private final AnomalyLog mAnomalies;
    private final Fleet mFleet = Fleet.create();
    private final StepDirectory mDirectory;
    private final EntryLease mLease;
    private final List<StoreWatch> mWatches = new ArrayList<>();
    private final CallerKeys mKeys =
            new CallerKeys(
                    this,
                    () -> settings().limits().admission(),
                    now -> now - configurationReadAt());
    private final CallController mCalls;
    private final SampleController mSamples;
    private final StepOwnership mStepOwnership;
    private final StepReader mStepReader;
    private final PermitController mPermits;
    private final CrashController mCrashes;
    private final StreamController mStreams;
    private final DutyHolder mDuties;
    private final PlannerController mPlanner;
    private final PlatformCalls mPlatformCalls;
    private final EndpointScaling mScaling;
    private final FrontHandler mFront;
    private final TCPNIOTransport mTransport;
    private final FrontServer mFrontServer;
    private volatile RouteTable mRoutes = RouteTable.empty();
    private volatile FrontLimits mLimits = FrontLimits.DEFAULT;
    private volatile boolean mReady;
    private volatile long mLastTickAt = System.nanoTime();
    private volatile boolean mDraining;
    private volatile int mOwnedSteps;
    private final InstrumentedStore mStore;
    private final StoreHealth mHealth;
    private long mNextSweepAt;

    private HostedEntry(HostedSettings settings, EventLog log) throws IOException {
        mSettings = settings;
        mLog = log;
        mAnomalies = new AnomalyLog(log, mMetrics, task -> executor().execute(task));
        mProcessName = new ProcessName(settings.vm(), new Random().nextLong());
        mEventLoop = newEventLoop();
        mTransport = IoTransports.create("io");
        AsyncHttpClient client =
                AsyncHttpClient.usingTransport(mTransport, mAnomalies::onDroppedResponse);
        mStore =
                new InstrumentedStore(
                        StoreClient.create(settings.store(), client),
                        fault ->
                                executor()
                                        .execute(
                                                () ->
                                                        storeHealth()
                                                                .onCallFault(System.nanoTime())));
        mHealth = new StoreHealth(new StoreOutageHandler(this, mStore, mFleet, mWatches));
        StepStore stepStore = new StepStore(mStore);
        Random random = new Random();
        mDirectory = new StepDirectory(log);
        mLease = new EntryLease(mStore, executor(), log, this::onLeaseLost);
        mPermits = new PermitController(this, mStore, mFleet, () -> mSettings.limits(), random);
        mCrashes = new CrashController(this, mStore);
        mStreams =
                new StreamController(
                        this, mStore, mFleet, settings.limits().storeWritesPerSecond());
        mCalls =
                new CallController(
                        this, mKeys, client, mFleet, mCrashes, mStreams, settings.domain());
        mSamples =
                new SampleController(
                        this, client, mFleet, (host, path) -> mRoutes.find(host, path));
        mStepOwnership = new StepOwnership(this, stepStore, mSamples.machine(), random);
        mDuties = PlatformCalls.newHolder(settings, this, mStore, random);
        mPlanner =
                new PlannerController(
                        this, client, mStore, stepStore, mFleet, () -> mSettings, mDuties);
        mPlatformCalls =
                PlatformCalls.create(this, mStore, mDuties, mPlanner, client, mCalls, settings);
        mScaling = newScaling(settings);
        mDuties.addIfPresent(mScaling.duty());
        mFront = newFront(stepStore, random);
        mStepReader = new StepReader(this, mStore, stepStore, mStepOwnership, mFront);
        mFront.setReader(mStepReader);
        mSamples.bind(mCalls, mStepOwnership, mStepReader);
        addWatches();
        startTransport(settings);
        mFrontServer =
                FrontServer.bind(
                        mTransport,
                        settings.front(),
                        mFront.listener(executor()),
                        () -> mLimits,
                        mMemory.front(),
                        () -> mSettings.limits().connections());
    }

    private EventLoop<Runnable> newEventLoop() {
        return EventLoop.create(
                "entry",
                RING_CAPACITY,
                this,
                MonotonicClock.system(),
                TICK_NANOS,
                (what, e) -> mAnomalies.onException(what, e));
    }

    private FrontHandler newFront(StepStore stepStore, Random random) {
        return new FrontHandler(
                this,
                mKeys,
                mCalls,
                new ResumedCalls(this, mCalls, mStreams),
                mStepOwnership,
                stepStore,
                () -> mRoutes,
                random);
    }

    private EndpointScaling newScaling(HostedSettings settings) {
        return EndpointScaling.create(
                this, mStore, mFleet, mCalls, settings.vm().value(), mPlatformCalls.scalingApi());
    }

    private void addWatches() {
        StoreWatchFactory watches = new StoreWatchFactory(mStore, executor(), mHealth);
        EndpointRecords endpoints =
                new EndpointRecords(this, mFleet, mCrashes, MonotonicClock.system());
        mWatches.add(
                watches.create(
                        OperatorDecoder.PREFIX,
                        () -> WatchTimings.forOperatorKeys(mSettings.limits(), isIdle()),
                        items -> items.forEach(this::onOperatorItem),
                        change -> onOperatorItem(change.item())));
        mWatches.add(
                watches.create(
                        EndpointDecoder.PREFIX,
                        () -> WatchTimings.forEndpointKeys(mSettings.limits(), isIdle()),
                        endpoints::onSnapshot,
                        endpoints::onChange));
        mWatches.add(
                watches.create(
                        StoreKeys.LIVE_PREFIX,
                        () -> WatchTimings.forStepKeys(mSettings.limits(), isIdle()),
                        this::onStepSnapshot,
                        this::onStepChange));
        mWatches.add(
                watches.create(
                        StoreKeys.CRASH_PREFIX,
                        () -> WatchTimings.forCrashRecords(mSettings.limits()),
                        mCrashes::onSnapshot,
                        mCrashes::onChange));
    }

    private void startTransport(HostedSettings settings) throws IOException {
        mTransport.start();
        ProbeServers.bind(
                mTransport,
                settings,
                new ReadinessHandler(this::isReady),
                new MetricsHandler(executor(), () -> mMetrics.format(gauges(), mStore.counts())));
    }

    /**
     * Starts an entry.
     *
     * @throws IOException if an address can't be bound
     */
    public static HostedEntry start(HostedSettings settings, EventLog log) throws IOException {
        HostedEntry entry = new HostedEntry(settings, log);
        entry.mEventLoop.launch();
        entry.executor().execute(() -> entry.mWatches.forEach(StoreWatch::start));
        log.write(
                LogLine.of("start")
                        .with("vm", settings.vm())
                        .with("process", entry.mProcessName.format())
                        .with("left_out", settings.policy().disabled()));
        return entry;
    }

    @Override
    public Executor executor() {
        return mEventLoop::post;
    }

    @Override
    public HostedSettings settings() {
        return mSettings;
    }

    @Override
    public void schedule(long nanos, Runnable task) {
        mScheduledTasks.add(System.nanoTime() + nanos, task);
    }

    @Override
    public StoreHealth storeHealth() {
        return mHealth;
    }

    @Override
    public MemoryAccount memory() {
        return mMemory.account();
    }

    @Override
    public EntryMetrics metrics() {
        return mMetrics;
    }

    private Map<String, Double> gauges() {
        Map<String, Double> gauges = new TreeMap<>();
        gauges.put("ebonyrun_entry_open_calls", (double) mCalls.openCalls());
        gauges.put("ebonyrun_entry_owned_steps", (double) mStepOwnership.size());
        gauges.put(
                "ebonyrun_entry_running_samples", (double) mSamples.machine().runningSampleCount());
        gauges.put("ebonyrun_entry_endpoints", (double) mFleet.all().size());
        gauges.put("ebonyrun_entry_limited_endpoints", (double) limitedEndpointCount());
        gauges.put("ebonyrun_entry_permits", (double) mPermits.machine().permitCount());
        gauges.put("ebonyrun_entry_streams", (double) mStreams.machine().streamCount());
        gauges.put("ebonyrun_entry_streams_recorded", mStreams.machine().isRecording() ? 1.0 : 0.0);
        gauges.put("ebonyrun_entry_config_version", (double) mRoutes.version());
        gauges.put("ebonyrun_entry_keys_outdated", mKeys.isOutdated() ? 1.0 : 0.0);
        gauges.put("ebonyrun_entry_ready", mReady ? 1.0 : 0.0);
        gauges.put("ebonyrun_entry_store_away", mHealth.isUnavailable() ? 1.0 : 0.0);
        gauges.put("ebonyrun_entry_planner", mDuties.holdsRole() ? 1.0 : 0.0);
        mPlatformCalls.addGauges(gauges);
        mScaling.addGauges(gauges);
        mMemory.addGauges(gauges);
        gauges.put("ebonyrun_entry_connections", (double) mFrontServer.connectionCount());
        gauges.put(
                "ebonyrun_entry_connections_ended", (double) mFrontServer.endedConnectionCount());
        gauges.put("ebonyrun_entry_memory_waiting_requests", (double) mFrontServer.waitingCount());
        gauges.put("ebonyrun_entry_log_lines_dropped", (double) mLog.dropped());
        return gauges;
    }

    private long limitedEndpointCount() {
        return mFleet.all().stream().filter(Endpoint::isLimited).count();
    }

    @Override
    public EventLog log() {
        return mLog;
    }

    @Override
    public EntryLease lease() {
        return mLease;
    }

    @Override
    public StepDirectory directory() {
        return mDirectory;
    }

    @Override
    public ProcessName self() {
        return mProcessName;
    }

    @Override
    public void onEndpointLeaving(EndpointRecord endpoint) {
        if (mFleet.onLeaving(endpoint)) {
            mLog.write(
                    LogLine.of("endpoint.leaving")
                            .with("endpoint", endpoint.id())
                            .with("service", endpoint.service())
                            .with("record_leaving", endpoint.leaving()));
        }
    }

    @Override
    public void onLimitNotice(EndpointRecord endpoint, LimitNotice notice, long sentAt) {
        mFleet.onLimitNotice(endpoint, notice, sentAt, System.nanoTime())
                .ifPresent(mPermits::onLimitChanged);
    }

    @Override
    public boolean hasConfiguration() {
        return mRoutes.isConfigured();
    }

    @Override
    public long configurationReadAt() {
        long now = System.nanoTime();
        return now - mWatches.get(OPERATOR_WATCH).silenceNanos(now);
    }

    @Override
    public Workspaces workspaces() {
        return mRoutes.workspaces();
    }

    @Override
    public Optional<Route> routeOf(StepManifest manifest) {
        return mRoutes.find(manifest.host(), manifest.prefix())
                .filter(route -> route.kind() == RouteKind.STEPS);
    }

    @Override
    public void refreshRoutes(Consumer<Boolean> callback) {
        mStore.get(OperatorDecoder.CONFIG_KEY)
                .thenAcceptAsync(
                        callback(
                                result -> {
                                    boolean read =
                                            result.fold(
                                                    item -> {
                                                        onOperatorItem(item.orElse(null));
                                                        return true;
                                                    },
                                                    fault -> false);
                                    callback.accept(read && mRoutes.isConfigured());
                                }),
                        executor());
    }

    @Override
    public void onEvent(Runnable task, long now) {
        task.run();
    }

    @Override
    public void onTick(long now) {
        mScheduledTasks.onTick(now);
        mHealth.onTick(now);
        mWatches.forEach(watch -> watch.onTick(now));
        mLease.onTick(needsLease(), now);
        mStepOwnership.onTick(mDirectory.ownedOrClaimableBy(mProcessName), now);
        mDuties.onTick(now);
        mPlatformCalls.onTick();
        mScaling.onTick(now);
        mPermits.machine().onTick(now);
        mCrashes.onTick(mDuties.holdsRole(), now);
        mStreams.onTick(now);
        mSamples.machine().onTick(now);
        mCalls.onTick(now);
        mStepReader.onTick(now);
        mFront.onTick(now);
        mFrontServer.resumeWaiting();
        if (now - mNextSweepAt >= 0) {
            mNextSweepAt = now + SWEEP_NANOS;
            mFrontServer.closeExpiredConnections(now);
        }
        mOwnedSteps = mStepOwnership.size();
        updateReady(now);
        mLastTickAt = now;
    }

    /** Returns whether the entry is ready and its event loop works. */
    private boolean isReady() {
        return mReady && System.nanoTime() - mLastTickAt < MAX_TICK_DELAY_NANOS;
    }

    private void updateReady(long now) {
        boolean synced = mWatches.stream().allMatch(StoreWatch::isSynced) && mRoutes.isConfigured();
        boolean reachable = mHealth.outageNanos(now) < MAX_STORE_OUTAGE_NANOS;
        boolean ready = synced && reachable && !mDraining;
        if (ready != mReady) {
            mReady = ready;
            mLog.write(
                    LogLine.of("ready")
                            .with("ready", ready)
                            .with("synced", synced)
                            .with("store", reachable)
                            .with("draining", mDraining));
        }
    }

    private boolean needsLease() {
        return !isIdle() || mPermits.machine().needsLease();
    }

    private void onLeaseLost() {
        mDuties.onLeaseLost();
        mPermits.machine().onLeaseLost();
    }

    private boolean isIdle() {
        return !mStepOwnership.needsLease() && !mDuties.holdsRole();
    }

    /** Applies an operator's key; null, for a removed key, has no effect. */
    private void onOperatorItem(@Nullable StoreItem item) {
        if (item == null) {
            return;
        }
        String key = item.key();
        try {
            OperatorDecoder.decode(key, item.value()).ifPresent(this::apply);
        } catch (IllegalArgumentException e) {
            mLog.write(LogLine.of("store.unreadable").with("key", key).with("why", e.getMessage()));
        }
    }

    private void apply(OperatorEvent event) {
        if (event instanceof OperatorEvent.Configured configured) {
            applyConfiguration(configured);
        } else if (event instanceof OperatorEvent.VersionNamed named) {
            mLog.write(
                    LogLine.of("version.named")
                            .with("model", named.model())
                            .with("version", named.version()));
            mPlanner.machine().onVersionNamed(named.model(), named.version(), System.nanoTime());
            mSamples.machine().onVersionNamed(named.model(), named.version());
        } else if (event instanceof OperatorEvent.RetireRequested retire) {
            mPlanner.onRetireRequested(retire.vm());
        }
    }

    private void applyConfiguration(OperatorEvent.Configured configured) {
        RouteTable routes = configured.routes();
        if (routes.version() <= mRoutes.version()) {
            return;
        }
        mRoutes = routes;
        mLimits = FrontHandler.limits(routes.limits());
        mPlanner.machine().onRoutes(routes, configured.singleVersion());
        mFront.onConfigurationChanged(System.nanoTime());
        mScaling.onConfigured(configured.scaling(), System.nanoTime());
        mLog.write(
                LogLine.of("config.applied")
                        .with("version", routes.version())
                        .with("routes", routes.size())
                        .with("workspaces", routes.workspaces().size())
                        .with("keys", routes.workspaces().keyCount())
                        .with("scaled", configured.scaling().size()));
    }

    private void onStepSnapshot(List<StoreItem> items) {
        mDirectory.onSnapshot(items);
        items.forEach(item -> onKeyChange(new StoreChange(item.key(), item.revision(), item)));
    }

    private void onStepChange(StoreChange change) {
        mDirectory.onChange(change);
        onKeyChange(change);
    }

    /** Handles a changed key after the step directory has been updated. */
    private void onKeyChange(StoreChange change) {
        String key = change.key();
        if (key.equals(StoreKeys.PLANNER)) {
            mDuties.onKeyChanged(change.item(), change.revision());
            return;
        }
        if (!StoreKeys.isLiveStepKey(key)) {
            return;
        }
        StepId step = StoreKeys.stepId(key);
        StepStatus status = mDirectory.get(step);
        mStepOwnership.onStatusChange(step, status);
        if (status != null && status.mManifest != null && key.endsWith(StoreKeys.MANIFEST)) {
            StepManifest manifest = status.mManifest;
            mPlanner.machine().onStep(manifest.model(), manifest.number(), manifest.minVersion());
            mScaling.onStep(manifest, System.nanoTime());
        }
    }

    /**
     * Applies changed limits. Addresses, names and the policy are fixed for the life of the
     * process; a change of them is only logged, and needs a restart.
     */
    public void reload(HostedSettings settings) {
        HostedSettings before = mSettings;
        mSettings = before.withLimitsOf(settings);
        mLog.write(
                LogLine.of("reload")
                        .with("limits_changed", !before.equals(mSettings))
                        .with("restart_needed", !mSettings.isSameExceptLimits(settings)));
    }

    /** Stops gracefully: finishes open requests and hands steps over to other entries. */
    public void drain() throws InterruptedException {
        long startedAt = System.nanoTime();
        long deadline =
                startedAt
                        + (long)
                                (DRAIN_FRACTION
                                        * Nanos.ofMillis(mSettings.limits().gracePeriodMillis()));
        mDraining = true;
        mReady = false;
        mLog.write(LogLine.of("stop"));
        mEventLoop.post(
                () -> {
                    mFront.onDrain();
                    mStepOwnership.onDrain();
                    mDuties.onDrain();
                });
        long finishNanos =
                (long) (FINISH_FRACTION * Nanos.ofMillis(mSettings.limits().gracePeriodMillis()));
        CountDownLatch sleepLatch = new CountDownLatch(1);
        while (System.nanoTime() - deadline < 0) {
            sleepLatch.await(DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
            long now = System.nanoTime();
            mFrontServer.drain(now, DRAIN_IDLE_NANOS);
            if (now - startedAt > finishNanos) {
                mEventLoop.post(mStepOwnership::handOver);
            }
            if (mOwnedSteps == 0
                    && now - startedAt > MIN_DRAIN_NANOS
                    && mFrontServer.busyConnectionCount() == 0) {
                break;
            }
        }
        mFrontServer.stop();
        while (mFrontServer.busyConnectionCount() > 0 && System.nanoTime() - deadline < 0) {
            sleepLatch.await(DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
        mEventLoop.post(mPlatformCalls::flush);
        mEventLoop.post(() -> mScaling.flush(System.nanoTime()));
        mEventLoop.post(mLease::release);
        sleepLatch.await(DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
        mLog.write(LogLine.of("stopped").with("busy", mFrontServer.busyConnectionCount()));
        mLog.close();
    }

    /** Stops at once: closes all connections without handing steps over. Idempotent. */
    @Override
    public void close() throws IOException {
        mTransport.shutdownNow();
        mEventLoop.close();
        mLog.close();
    }
}
