package org.ebonyrun.daemon.hosted;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ebonyrun.base.eventloop.EventHandler;
import org.ebonyrun.base.eventloop.EventLoop;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallerLimits;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.RouteTable;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.platform.EndpointDecoder;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.platform.OperatorDecoder;
import org.ebonyrun.platform.OperatorEvent;
import org.ebonyrun.platform.StoreClient;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.DroppedResponse;
import org.ebonyrun.ports.http.FrontLimits;
import org.ebonyrun.ports.http.FrontServer;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.jspecify.annotations.Nullable;

/**
 * An entry that reaches endpoints and the shared store itself.
 *
 * <p>One I/O thread reads and writes all sockets; one duty holds all state and takes all decisions;
 * a bounded ring joins them. Thread safe: {@link #drain} may be called from any thread.
 */
public final class HostedEntry implements HostedContext, EventHandler<Runnable>, Closeable {
    private static final int RING = 16_384;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long SWEEP_NANOS = Nanos.ofMillis(500);
    // Longest silence of the store after which the entry asks callers to go elsewhere.
    private static final long STORE_SILENCE_NANOS = Nanos.ofMillis(1_500);
    private static final long DRAIN_STEP_MILLIS = 50;
    // Callers may still arrive until the platform has noticed that the entry is not ready.
    private static final long DRAIN_QUIET_NANOS = Nanos.ofMillis(1_000);
    private static final long DRAIN_LEAST_NANOS = Nanos.ofMillis(3_000);
    // Part of the grace period in which steps may still be finished here.
    private static final double FINISH_SHARE = 0.5;
    private static final double DRAIN_SHARE = 0.85;

    /** A task for later. */
    private record Timed(long at, Runnable task) {}

    private volatile HostedSettings mSettings;
    private final EventLog mLog;
    private final EventLoop<Runnable> mDuty;
    private final ProcessName mSelf;
    private final PriorityQueue<Timed> mLater =
            new PriorityQueue<>((a, b) -> Long.signum(a.at() - b.at()));
    private final EntryMetrics mMetrics = new EntryMetrics();
    private final Fleet mFleet = Fleet.create();
    private final StepDirectory mDirectory;
    private final EntryLease mLease;
    private final List<StoreWatch> mWatches = new ArrayList<>();
    private final CallController mCalls;
    private final SampleController mSamples;
    private final StepOwnership mSteps;
    private final StepReader mReader;
    private final PlannerController mPlanner;
    private final FrontHandler mFrontDesk;
    private final TCPNIOTransport mTransport;
    private final FrontServer mFront;
    private volatile RouteTable mRoutes = RouteTable.empty();
    private volatile FrontLimits mLimits = FrontLimits.DEFAULT;
    private volatile boolean mReady;
    private volatile boolean mDraining;
    private volatile int mOwnedSteps;
    private final InstrumentedStore mStore;
    private final StoreHealth mHealth = new StoreHealth(healthListener());
    private long mSweepAt;

    private HostedEntry(HostedSettings settings, EventLog log) throws IOException {
        mSettings = settings;
        mLog = log;
        mSelf = new ProcessName(settings.vm(), new Random().nextLong());
        mDuty = EventLoop.create("entry", RING, this, MonotonicClock.system(), TICK_NANOS);
        mTransport = transport();
        AsyncHttpClient caller = AsyncHttpClient.usingTransport(mTransport, this::onDroppedAnswer);
        mStore =
                new InstrumentedStore(
                        StoreClient.create(settings.store(), caller),
                        fault -> executor().execute(() -> mHealth.onCallFault(System.nanoTime())));
        StepStore stepStore = new StepStore(mStore);
        Random random = new Random();
        mDirectory = new StepDirectory(log);
        mLease = new EntryLease(mStore, executor(), log, this::onLeaseLost);
        mCalls = new CallController(this, caller, mFleet, settings.domain());
        mSamples =
                new SampleController(
                        this, caller, mFleet, (host, path) -> mRoutes.find(host, path));
        mSteps = new StepOwnership(this, stepStore, mSamples.machine(), random);
        mPlanner =
                new PlannerController(
                        this, caller, mStore, stepStore, mFleet, () -> mSettings, random);
        mFrontDesk = new FrontHandler(this, mCalls, mSteps, stepStore, () -> mRoutes, random);
        mReader = new StepReader(this, mStore, stepStore, mSteps, mFrontDesk);
        mFrontDesk.setReader(mReader);
        mSamples.bind(mCalls, mSteps, mReader);
        mWatches.add(
                watch(
                        OperatorDecoder.PREFIX,
                        () -> WatchTimings.forOperatorKeys(mSettings.limits(), isIdle()),
                        items -> items.forEach(this::onOperator),
                        change -> onOperator(change.item())));
        mWatches.add(
                watch(
                        EndpointDecoder.PREFIX,
                        () -> WatchTimings.forEndpointKeys(mSettings.limits(), isIdle()),
                        this::onEndpoints,
                        this::onEndpoint));
        mWatches.add(
                watch(
                        StoreKeys.LIVE_PREFIX,
                        () -> WatchTimings.forStepKeys(mSettings.limits(), isIdle()),
                        this::onAllLive,
                        this::onLiveChange));
        mTransport.start();
        FrontServer.bind(
                mTransport, settings.ready(), new ReadinessHandler(() -> mReady), () -> mLimits);
        FrontServer.bind(
                mTransport,
                settings.metrics(),
                new MetricsHandler(executor(), () -> mMetrics.format(gauges(), mStore.counts())),
                () -> mLimits);
        mFront =
                FrontServer.bind(
                        mTransport,
                        settings.front(),
                        mFrontDesk.listener(executor()),
                        () -> mLimits);
    }

    /**
     * Starts an entry.
     *
     * @throws IOException if an address can't be bound
     */
    public static HostedEntry start(HostedSettings settings, EventLog log) throws IOException {
        HostedEntry entry = new HostedEntry(settings, log);
        entry.mDuty.launch();
        entry.executor().execute(() -> entry.mWatches.forEach(StoreWatch::start));
        log.write(
                LogLine.of("start")
                        .with("vm", settings.vm())
                        .with("process", entry.mSelf.format())
                        .with("left_out", settings.policy().disabled()));
        return entry;
    }

    private static TCPNIOTransport transport() {
        return TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("io")
                                .setCorePoolSize(1)
                                .setMaxPoolSize(1)
                                .setDaemon(true))
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .build();
    }

    @Override
    public Executor executor() {
        return mDuty::post;
    }

    @Override
    public Policy policy() {
        return mSettings.policy();
    }

    @Override
    public void schedule(long nanos, Runnable task) {
        mLater.add(new Timed(System.nanoTime() + nanos, task));
    }

    @Override
    public boolean isStoreUnavailable() {
        return mHealth.isUnavailable();
    }

    @Override
    public EntryMetrics metrics() {
        return mMetrics;
    }

    private Map<String, Double> gauges() {
        Map<String, Double> gauges = new TreeMap<>();
        gauges.put("ebonyrun_entry_open_calls", (double) mCalls.openCalls());
        gauges.put("ebonyrun_entry_owned_steps", (double) mSteps.size());
        gauges.put("ebonyrun_entry_running_samples", (double) mSamples.machine().runningSamples());
        gauges.put("ebonyrun_entry_endpoints", (double) mFleet.all().size());
        gauges.put("ebonyrun_entry_config_version", (double) mRoutes.version());
        gauges.put("ebonyrun_entry_ready", mReady ? 1.0 : 0.0);
        gauges.put("ebonyrun_entry_store_away", mHealth.isUnavailable() ? 1.0 : 0.0);
        gauges.put("ebonyrun_entry_planner", mPlanner.isLeaseHolder() ? 1.0 : 0.0);
        gauges.put("ebonyrun_entry_log_lines_dropped", (double) mLog.dropped());
        return gauges;
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
        return mSelf;
    }

    @Override
    public boolean hasConfiguration() {
        return mRoutes.isConfigured();
    }

    @Override
    public Optional<Route> routeOf(StepManifest manifest) {
        return mRoutes.find(manifest.host(), manifest.prefix())
                .filter(route -> route.kind() == RouteKind.STEPS);
    }

    @Override
    public void refreshRoutes(Consumer<Boolean> then) {
        mStore.get(OperatorDecoder.CONFIG_KEY)
                .thenAcceptAsync(
                        result -> {
                            boolean read =
                                    result.fold(
                                            item -> {
                                                onOperator(item.orElse(null));
                                                return true;
                                            },
                                            fault -> false);
                            then.accept(read && mRoutes.isConfigured());
                        },
                        executor());
    }

    @Override
    public void onEvent(Runnable task, long now) {
        task.run();
    }

    @Override
    public void onTick(long now) {
        while (!mLater.isEmpty() && now - mLater.peek().at() >= 0) {
            mLater.poll().task().run();
        }
        mHealth.onTick(now);
        mWatches.forEach(watch -> watch.onTick(now));
        mLease.onTick(mSteps.needsLease() || mPlanner.isLeaseHolder(), now);
        mSteps.onTick(mDirectory.ownedOrClaimableBy(mSelf), now);
        mPlanner.onTick(now);
        mSamples.machine().onTick(now);
        mCalls.onTick(now);
        mReader.onTick(now);
        if (now - mSweepAt >= 0) {
            mSweepAt = now + SWEEP_NANOS;
            mFront.closeExpiredConnections(now);
        }
        mOwnedSteps = mSteps.size();
        updateReady(now);
    }

    private void updateReady(long now) {
        boolean synced = mWatches.stream().allMatch(StoreWatch::isSynced) && mRoutes.isConfigured();
        boolean reachable = mHealth.outageNanos(now) < STORE_SILENCE_NANOS;
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

    private void onLeaseLost() {
        mPlanner.onLeaseLost();
    }

    private void onDroppedAnswer(DroppedResponse answer) {
        mLog.write(
                LogLine.of("answer.dropped")
                        .with("request", answer.awaitedId())
                        .with("answer_to", EndpointProtocol.requestId(answer.head()))
                        .with("status", answer.head().status())
                        .with("reason", answer.reason())
                        .with("peer", answer.peer())
                        .with("connection", answer.connectionUse().connection())
                        .with("connection_requests", answer.connectionUse().requests())
                        .with("connection_idle_ms", answer.connectionUse().idleMillis()));
        executor()
                .execute(
                        () -> mMetrics.count(EntryMetrics.DROPPED_ANSWERS, answer.reason().name()));
    }

    private boolean isIdle() {
        return !mSteps.needsLease() && !mPlanner.isLeaseHolder();
    }

    private StoreWatch watch(
            String prefix,
            Supplier<StoreWatch.Timing> pace,
            Consumer<List<StoreItem>> onSnapshot,
            Consumer<StoreChange> onChange) {
        return new StoreWatch(
                mStore,
                prefix,
                pace,
                executor(),
                new StoreWatch.Listener() {
                    @Override
                    public void onSnapshot(List<StoreItem> items) {
                        onSnapshot.accept(items);
                    }

                    @Override
                    public void onChange(StoreChange change) {
                        onChange.accept(change);
                    }

                    @Override
                    public void onResponse() {
                        mHealth.onResponse();
                    }

                    @Override
                    public void onFault(Fault fault) {
                        mHealth.onWatchFault(prefix + ": " + fault.detail(), System.nanoTime());
                    }
                });
    }

    private StoreHealth.Listener healthListener() {
        return new StoreHealth.Listener() {
            @Override
            public void sendProbe(int round) {
                mStore.get(StoreKeys.PLANNER)
                        .thenAcceptAsync(result -> onProbeEnd(round, result), executor());
            }

            @Override
            public void onUnavailable(String why) {
                mFleet.onStoreUnavailable();
                mLog.write(LogLine.of("store.away").with("why", why));
            }

            @Override
            public void onAvailable() {
                long now = System.nanoTime();
                mFleet.onStoreAvailable(now);
                mWatches.forEach(StoreWatch::onStoreAvailable);
                mLog.write(LogLine.of("store.back"));
            }
        };
    }

    private void onProbeEnd(int round, Result<Optional<StoreItem>> result) {
        String fault = result.fold(item -> "", Fault::detail);
        mHealth.onProbeEnd(round, fault, System.nanoTime());
    }

    /** Takes what the operator wrote in; null if a key was removed, which changes nothing. */
    private void onOperator(@Nullable StoreItem item) {
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
            configure(configured);
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

    private void configure(OperatorEvent.Configured configured) {
        RouteTable routes = configured.routes();
        if (routes.version() <= mRoutes.version()) {
            return;
        }
        mRoutes = routes;
        CallerLimits limits = routes.limits();
        mLimits =
                new FrontLimits(
                        limits.maxHeaderBytes(),
                        limits.maxBodyBytes(),
                        limits.headerTimeoutMillis(),
                        limits.idleTimeoutMillis());
        mPlanner.machine().onRoutes(routes, configured.singleVersion());
        mLog.write(
                LogLine.of("config.applied")
                        .with("version", routes.version())
                        .with("routes", routes.size()));
    }

    private Optional<EndpointRecord> record(StoreItem item) {
        try {
            String id = EndpointDecoder.endpointId(item.key());
            return Optional.of(EndpointDecoder.decode(id, item.value()));
        } catch (IllegalArgumentException e) {
            mLog.write(
                    LogLine.of("endpoint.unreadable")
                            .with("key", item.key())
                            .with("why", e.getMessage()));
            return Optional.empty();
        }
    }

    private void onEndpoints(List<StoreItem> items) {
        List<EndpointRecord> records = new ArrayList<>();
        items.forEach(item -> record(item).ifPresent(records::add));
        mFleet.onSnapshot(records, System.nanoTime());
    }

    private void onEndpoint(StoreChange change) {
        String key = change.key();
        StoreItem item = change.item();
        String id = EndpointDecoder.endpointId(key);
        Optional<EndpointRecord> record = item == null ? Optional.empty() : record(item);
        if (record.isPresent()) {
            boolean fresh = mFleet.onRecord(record.get());
            if (fresh || record.get().leaving()) {
                mLog.write(
                        LogLine.of("endpoint")
                                .with("endpoint", id)
                                .with("service", record.get().service())
                                .with("leaving", record.get().leaving())
                                .with("born", record.get().incarnation()));
            }
        } else if (item == null) {
            mLog.write(
                    LogLine.of("endpoint.removed")
                            .with("endpoint", id)
                            .with("away", mHealth.isUnavailable()));
            mFleet.onRemoved(id, System.nanoTime());
        }
    }

    private void onAllLive(List<StoreItem> items) {
        mDirectory.onSnapshot(items);
        items.forEach(item -> onLive(new StoreChange(item.key(), item.revision(), item)));
    }

    private void onLiveChange(StoreChange change) {
        mDirectory.onChange(change);
        onLive(change);
    }

    /** Takes the change of a key in that the directory knows already. */
    private void onLive(StoreChange change) {
        String key = change.key();
        if (key.equals(StoreKeys.PLANNER)) {
            mPlanner.onPlannerKeyChanged(change.item(), change.revision());
            return;
        }
        if (!StoreKeys.isLiveStepKey(key)) {
            return;
        }
        StepId step = StoreKeys.stepId(key);
        StepStatus known = mDirectory.get(step);
        mSteps.onStatusChange(step, known);
        if (known != null && known.mManifest != null && key.endsWith(StoreKeys.MANIFEST)) {
            StepManifest manifest = known.mManifest;
            mPlanner.machine().onStep(manifest.model(), manifest.number(), manifest.minVersion());
        }
    }

    /**
     * Takes changed limits in. Addresses and names are those of the process and stay as they are; a
     * change of them is logged and needs a restart.
     */
    public void reload(HostedSettings settings) {
        HostedSettings before = mSettings;
        mSettings = before.withLimitsOf(settings);
        mLog.write(
                LogLine.of("reload")
                        .with("limits_changed", !before.equals(mSettings))
                        .with("restart_needed", !mSettings.isSameExceptLimits(settings)));
    }

    /** Stops gracefully: finishes what callers wait for and hands steps over. */
    public void drain() throws InterruptedException {
        long begin = System.nanoTime();
        long limit =
                begin
                        + (long)
                                (DRAIN_SHARE
                                        * Nanos.ofMillis(mSettings.limits().gracePeriodMillis()));
        mDraining = true;
        mReady = false;
        mLog.write(LogLine.of("stop"));
        mDuty.post(
                () -> {
                    mSteps.onDrain();
                    mPlanner.onDrain();
                });
        long finish =
                (long) (FINISH_SHARE * Nanos.ofMillis(mSettings.limits().gracePeriodMillis()));
        CountDownLatch never = new CountDownLatch(1);
        while (System.nanoTime() - limit < 0) {
            never.await(DRAIN_STEP_MILLIS, TimeUnit.MILLISECONDS);
            long now = System.nanoTime();
            mFront.drain(now, DRAIN_QUIET_NANOS);
            if (now - begin > finish) {
                mDuty.post(mSteps::handOver);
            }
            if (mOwnedSteps == 0
                    && now - begin > DRAIN_LEAST_NANOS
                    && mFront.busyConnectionCount() == 0) {
                break;
            }
        }
        mFront.stop();
        while (mFront.busyConnectionCount() > 0 && System.nanoTime() - limit < 0) {
            never.await(DRAIN_STEP_MILLIS, TimeUnit.MILLISECONDS);
        }
        mDuty.post(mLease::release);
        never.await(DRAIN_STEP_MILLIS, TimeUnit.MILLISECONDS);
        mLog.write(LogLine.of("stopped").with("busy", mFront.busyConnectionCount()));
        mLog.close();
    }

    /** Stops at once: closes all connections and hands nothing over. Does nothing if repeated. */
    @Override
    public void close() throws IOException {
        mTransport.shutdownNow();
        mDuty.close();
        mLog.close();
    }
}
