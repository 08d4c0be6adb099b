package org.ebonyrun.daemon.agent;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.URI;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.eventloop.Command;
import org.ebonyrun.base.eventloop.EventLoop;
import org.ebonyrun.base.eventloop.StateMachineHandler;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.base.wire.LinkTransport;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.attempt.AttemptLimits;
import org.ebonyrun.core.attempt.AttemptMachine;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.AttemptOutputs;
import org.ebonyrun.core.attempt.AttemptPolicy;
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
import org.ebonyrun.daemon.DaemonSettings;
import org.ebonyrun.daemon.admin.AdminHandlers;
import org.ebonyrun.daemon.admin.ManagedNode;
import org.ebonyrun.daemon.admin.NodeMetrics;
import org.ebonyrun.daemon.link.LinkRegistry;
import org.ebonyrun.daemon.link.PeerLink;
import org.ebonyrun.daemon.link.PeerListener;
import org.ebonyrun.daemon.link.WireTypes;
import org.ebonyrun.daemon.store.FenceStore;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpServerSettings;
import org.ebonyrun.ports.http.HttpServers;
import org.ebonyrun.ports.kv.HttpKeyValueStore;
import org.glassfish.grizzly.http.server.HttpServer;

/**
 * An agent, through which entries send all work to its endpoint.
 *
 * <p>Thread safe. Each state machine is used on the thread of its event loop only; links and HTTP
 * exchanges post their events to the event loops. An I/O thread blocks while a ring is full, which
 * applies backpressure to the peer.
 */
public final class AgentNode implements AutoCloseable, ManagedNode {
    // Capacities of the rings, in events.
    private static final int RING = 16_384;
    private static final int SMALL_RING = 1_024;
    private static final int HTTP_WORKERS = 2;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long HEARTBEAT_MILLIS = 250;
    private static final long STATE_POLL_MILLIS = 500;
    private static final int INITIAL_SLOTS = 0;

    private final DaemonSettings mSettings;
    private final HeartbeatPolicy mHeartbeats = new HeartbeatPolicy();
    private final NodeMetrics mMetrics = new NodeMetrics();
    private final AsyncHttpClient mHttpClient;
    private final EndpointAdapter mAdapter;
    private final FenceStore mFences;
    private final LinkRegistry mLinks;
    private final LinkTransport mTransport;
    private final AttemptMachine mAttempts;
    private final ConfigMachine mConfig;
    private final SwapMachine mSwap;
    private final EventLoop<Command<AttemptMachine>> mAttemptLoop;
    private final EventLoop<Command<ConfigMachine>> mConfigLoop;
    private final EventLoop<Command<SwapMachine>> mSwapLoop;
    private final ScheduledExecutorService mTimer;
    private final HttpServer mHttp;
    private final int mLinkPort;
    private volatile long mConfigVersion;
    private volatile boolean mReady;
    private volatile boolean mDraining;

    private AgentNode(DaemonSettings settings) throws IOException {
        mSettings = settings;
        mHttpClient = AsyncHttpClient.start();
        URI endpoint = requireNonNull(settings.endpoint());
        EndpointListener listener = new EndpointEventForwarder();
        mAdapter =
                settings.engine()
                        ? EngineAdapter.create(mHttpClient, endpoint, listener)
                        : PlainAdapter.create(mHttpClient, endpoint, listener);
        mFences =
                FenceStore.create(
                        HttpKeyValueStore.create(mHttpClient, settings.platform().keyValue()));
        MonotonicClock clock = MonotonicClock.system();
        AttemptLimits limits =
                new AttemptLimits(
                        INITIAL_SLOTS, AttemptLimits.DEFAULT_MAX_QUEUED, settings.maxHeldBytes());
        mAttempts =
                AttemptMachine.create(
                        settings.vm(), limits, AttemptPolicy.standard(), new AttemptHandler());
        mConfig = ConfigMachine.create(new ConfigHandler());
        mSwap = SwapMachine.create(settings.vm(), new SwapHandler());
        mAttemptLoop =
                EventLoop.start(
                        "attempt", RING, StateMachineHandler.of(mAttempts), clock, TICK_NANOS);
        mConfigLoop =
                EventLoop.start(
                        "config", SMALL_RING, StateMachineHandler.of(mConfig), clock, TICK_NANOS);
        mSwapLoop =
                EventLoop.start(
                        "weights", SMALL_RING, StateMachineHandler.of(mSwap), clock, TICK_NANOS);
        mMetrics.registerRingGauge(List.of(mAttemptLoop, mConfigLoop, mSwapLoop));
        ServiceName service = requireNonNull(settings.service());
        MembershipMessage.Hello hello =
                new MembershipMessage.Hello(
                        settings.vm(),
                        DaemonSettings.ROLE_ENDPOINT,
                        service.value(),
                        settings.failureDomain(),
                        new SecureRandom().nextLong(),
                        settings.engine() ? endpoint.toString() : "");
        mLinks = LinkRegistry.create(hello, new LinkEventForwarder());
        mTransport = LinkTransport.start("links", WireTypes.codec(), mLinks);
        mLinkPort = mTransport.listen(settings.linkListen().host(), settings.linkListen().port());
        mHttp =
                HttpServers.start(
                        new HttpServerSettings(
                                "admin",
                                settings.httpListen().host(),
                                settings.httpListen().port(),
                                HTTP_WORKERS),
                        AdminHandlers.of(this));
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "agent-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Starts an agent. */
    public static AgentNode start(DaemonSettings settings) throws IOException {
        AgentNode node = new AgentNode(settings);
        node.mTimer.scheduleAtFixedRate(
                node.mAdapter::requestState, 0, STATE_POLL_MILLIS, TimeUnit.MILLISECONDS);
        node.mTimer.scheduleAtFixedRate(
                node::sendHeartbeats, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        node.readFenceFloor();
        return node;
    }

    /** Returns the port on which the agent listens for links. */
    public int linkPort() {
        return mLinkPort;
    }

    /** Returns the port on which the agent listens for HTTP requests of operators. */
    public int httpPort() {
        return HttpServers.port(mHttp);
    }

    @Override
    public CompletableFuture<Object> dump() {
        MonotonicClock clock = MonotonicClock.system();
        return mAttemptLoop
                .query(() -> mAttempts.dump(clock.nanoTime()))
                .thenCombine(mSwapLoop.query(mSwap::fenceFloor), this::dump);
    }

    @Override
    public boolean isReady() {
        return mReady && !mDraining;
    }

    @Override
    public void drain() {
        mDraining = true;
        mAttemptLoop.post((machine, now) -> machine.onDrain());
        sendHeartbeats();
    }

    @Override
    public byte[] metrics() {
        return mMetrics.format();
    }

    /**
     * Refuses new work, waits until the accepted work is finished and held samples are fetched, at
     * most for the drain time of the settings, and closes.
     *
     * @return whether all work was finished
     */
    public boolean drainAndClose() throws InterruptedException {
        drain();
        long deadline = System.nanoTime() + Nanos.ofMillis(mSettings.drainMillis());
        boolean idle = false;
        while (!idle && System.nanoTime() < deadline) {
            idle = mAttemptLoop.query(mAttempts::isIdle).join();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        close();
        return idle;
    }

    /** Closes immediately, without waiting for open work, as in a crash. */
    @Override
    public void close() {
        mTimer.shutdownNow();
        mLinks.closeAll();
        mTransport.close();
        mHttp.shutdownNow();
        mAttemptLoop.close();
        mConfigLoop.close();
        mSwapLoop.close();
        mHttpClient.close();
    }

    private Object dump(AttemptMachine.Dump attempts, long floor) {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("vm", mSettings.vm());
        state.put("role", mSettings.role());
        state.put("service", mSettings.service());
        state.put("failure_domain", mSettings.failureDomain());
        state.put("config_version", mConfigVersion);
        state.put("fence_floor", floor);
        state.put("draining", mDraining);
        state.put("attempts", attempts);
        return state;
    }

    /** Sends a heartbeat to all entries if one is due. */
    private void sendHeartbeats() {
        mAttemptLoop.offer(
                (machine, now) -> {
                    EndpointLoad load = machine.load(now);
                    if (mHeartbeats.markSentIfDue(load, now)) {
                        Message heartbeat = new MembershipMessage.Heartbeat(mConfigVersion, load);
                        mLinks.introducedLinks().forEach(peer -> peer.link().send(heartbeat));
                    }
                });
    }

    /** Sends a heartbeat to one entry immediately. */
    private void sendHeartbeat(PeerLink peer) {
        mAttemptLoop.offer(
                (machine, now) ->
                        peer.link()
                                .send(
                                        new MembershipMessage.Heartbeat(
                                                mConfigVersion, machine.load(now))));
    }

    /** Reads the fence floor; retries until the key-value service responds. */
    private void readFenceFloor() {
        ServiceName service = requireNonNull(mSettings.service());
        mFences.read(WeightPlanner.leaseKey(service))
                .thenAccept(
                        result ->
                                result.fold(
                                        fence -> {
                                            mSwapLoop.post(
                                                    (machine, now) -> machine.onFenceFloor(fence));
                                            return true;
                                        },
                                        fault -> {
                                            retryFenceFloor();
                                            return false;
                                        }));
    }

    private void retryFenceFloor() {
        if (!mTimer.isShutdown()) {
            mTimer.schedule(this::readFenceFloor, STATE_POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Posts the endpoint's events to the event loops. Thread safe. */
    private final class EndpointEventForwarder implements EndpointListener {
        @Override
        public void onPiece(AttemptId id, byte[] data, int tokens, long version) {
            mAttemptLoop.post((machine, now) -> machine.onPiece(id, data, tokens, version, now));
        }

        @Override
        public void onEnd(AttemptId id, int status, String contentType) {
            mAttemptLoop.post((machine, now) -> machine.onEnd(id, status, contentType, now));
        }

        @Override
        public void onFailure(AttemptId id, boolean sent, FaultCode code, String detail) {
            mAttemptLoop.post((machine, now) -> machine.onFailure(id, sent, code, detail, now));
        }

        @Override
        public void onState(long version, int slots) {
            mReady = true;
            mAttemptLoop.post((machine, now) -> machine.onEndpointState(version, slots, now));
        }

        @Override
        public void onUnreachable() {
            mReady = false;
            mAttemptLoop.post((machine, now) -> machine.onEndpointUnreachable());
        }

        @Override
        public void onLoadFinished(long version, Optional<Fault> fault) {
            mSwapLoop.post((machine, now) -> machine.onLoaded(version, fault));
            mAdapter.requestState();
        }
    }

    /** Posts the messages of entries to the event loops. Thread safe. */
    private final class LinkEventForwarder implements PeerListener {
        @Override
        public void onPeerIntroduced(PeerLink peer) {
            sendHeartbeat(peer);
        }

        @Override
        public void onMessage(PeerLink peer, Message message) {
            long link = peer.number();
            if (message instanceof AttemptMessage attempt) {
                mAttemptLoop.post((machine, now) -> machine.onMessage(link, attempt, now));
            } else if (message instanceof ConfigMessage config) {
                mConfigLoop.post((machine, now) -> machine.onMessage(link, config));
            } else if (message instanceof MembershipMessage.Heartbeat heartbeat) {
                long version = heartbeat.configVersion();
                mConfigLoop.post((machine, now) -> machine.onPeerVersion(link, version));
            } else if (message instanceof WeightMessage.LoadOrder order) {
                mSwapLoop.post((machine, now) -> machine.onOrder(link, order));
            }
        }

        @Override
        public void onPeerLost(PeerLink peer) {
            mAttemptLoop.post((machine, now) -> machine.onLinkClosed(peer.number(), now));
        }
    }

    /** Carries out the outputs of the attempt state machine. Used on its event loop's thread. */
    private final class AttemptHandler implements AttemptOutputs {
        @Override
        public void send(long link, AttemptMessage message) {
            mLinks.send(link, message);
        }

        @Override
        public void start(AttemptId id, Job job) {
            mAdapter.start(id, job);
        }

        @Override
        public void stop(AttemptId id) {
            mAdapter.stop(id);
        }
    }

    /**
     * Carries out the outputs of the configuration state machine. Used on its event loop's thread.
     */
    private final class ConfigHandler implements ConfigOutputs {
        @Override
        public void send(long link, ConfigMessage message) {
            mLinks.send(link, message);
        }

        @Override
        public void onConfigAdopted(OperatorConfig config, String text) {
            mConfigVersion = config.version();
        }
    }

    /**
     * Carries out the outputs of the weight swap state machine. Used on its event loop's thread.
     */
    private final class SwapHandler implements SwapOutputs {
        @Override
        public void send(long link, WeightMessage message) {
            mLinks.send(link, message);
        }

        @Override
        public void load(long version, long fence, String source) {
            mAdapter.loadWeights(version, fence, source);
        }

        @Override
        public void setSwapping(boolean swapping) {
            mAttemptLoop.post((machine, now) -> machine.onSwapping(swapping, now));
        }
    }
}
