package org.ebonyrun.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.routing.TargetMonitor;
import org.ebonyrun.daemon.DaemonSettings;
import org.ebonyrun.daemon.admin.AdminHandlers;
import org.ebonyrun.daemon.admin.ManagedNode;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.HttpServerSettings;
import org.ebonyrun.ports.http.HttpServers;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;

/**
 * One entry process. Serves callers, trainers and operators over HTTP, and agents and other entries
 * over links. Thread safe.
 */
public final class EntryNode implements AutoCloseable, ManagedNode {
    private static final int HTTP_WORKER_THREADS = 4;

    private final EntryContext mContext;
    private final HttpServer mHttpServer;

    private EntryNode(DaemonSettings settings) throws IOException {
        mContext = new EntryContext(settings);
        CallApi calls = new CallApi(mContext);
        StepApi steps = new StepApi(mContext);
        ConfigApi config = new ConfigApi(mContext);
        Map<String, HttpHandler> handlers = AdminHandlers.of(this);
        handlers.put("/admin/status", AdminHandlers.asyncHandler((request, out) -> status(out)));
        handlers.put(CallApi.PREFIX + "*", AdminHandlers.asyncHandler(calls::handle));
        handlers.put(StepApi.PREFIX + "*", AdminHandlers.asyncHandler(steps::handle));
        handlers.put(ConfigApi.PREFIX, AdminHandlers.asyncHandler(config::handle));
        handlers.put(ConfigApi.PREFIX + "/*", AdminHandlers.asyncHandler(config::handle));
        mHttpServer =
                HttpServers.start(
                        new HttpServerSettings(
                                "entry",
                                settings.httpListen().host(),
                                settings.httpListen().port(),
                                HTTP_WORKER_THREADS),
                        handlers);
    }

    /** Starts an entry. */
    public static EntryNode start(DaemonSettings settings) throws IOException {
        EntryNode node = new EntryNode(settings);
        new VmDirectoryPoller(node.mContext).start();
        new ConfigWatcher(node.mContext).start();
        return node;
    }

    /** Returns the port on which the entry accepts links. */
    public int linkPort() {
        return mContext.mLinkPort;
    }

    /** Returns how many bytes the links have carried in both directions. */
    public long linkBytes() {
        return mContext.mTransport.bytesReceived() + mContext.mTransport.bytesSent();
    }

    /** Returns the port on which the entry serves HTTP. */
    public int httpPort() {
        return HttpServers.port(mHttpServer);
    }

    @Override
    public CompletableFuture<Object> dump() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("vm", mContext.mSettings.vm());
        state.put("role", mContext.mSettings.role());
        state.put("failure_domain", mContext.mSettings.failureDomain());
        state.put("config_version", mContext.mCurrentConfig.version());
        state.put("draining", mContext.mDraining);
        return mContext.mDispatchLoop
                .query(mContext.mDispatcher::dump)
                .thenAccept(dispatch -> state.put("dispatch", dispatch))
                .thenCompose(
                        ignored ->
                                mContext.mRolloutLoop.query(
                                        () -> mContext.mRollout.dump(System.nanoTime())))
                .thenAccept(steps -> state.put("steps", steps))
                .thenCompose(
                        ignored ->
                                mContext.mMembershipLoop.query(
                                        () -> mContext.mMembership.dump(System.nanoTime())))
                .thenAccept(peers -> state.put("peers", peers))
                .thenCompose(
                        ignored ->
                                mContext.mPlannerLoop.query(
                                        () -> mContext.mPlanner.dump(System.nanoTime())))
                .thenApply(
                        plans -> {
                            state.put("weights", plans);
                            return state;
                        });
    }

    private void status(Responder out) {
        dump().thenCombine(
                        mContext.mDispatchLoop.query(this::classStatuses), EntryNode::withClasses)
                .whenComplete(
                        (state, error) -> {
                            if (error == null) {
                                out.sendComplete(
                                        200, FaultResponses.JSON_CONTENT_TYPE, Json.write(state));
                            } else {
                                out.sendComplete(
                                        503,
                                        FaultResponses.JSON_CONTENT_TYPE,
                                        Json.write(Map.of("error", "busy")));
                            }
                        });
    }

    private List<TargetMonitor.ClassStatus> classStatuses() {
        return mContext.mTargetMonitor.status(
                mContext.mCurrentConfig, mContext.mDispatcher.endpoints(), System.nanoTime());
    }

    private static Object withClasses(Object dump, List<TargetMonitor.ClassStatus> classes) {
        ObjectNode state = Json.mapper().valueToTree(dump);
        state.set("classes", Json.mapper().valueToTree(classes));
        return state;
    }

    @Override
    public boolean isReady() {
        return !mContext.mDraining && mContext.mCurrentConfig.version() > 0;
    }

    @Override
    public void drain() {
        mContext.mDraining = true;
    }

    @Override
    public byte[] metrics() {
        return mContext.mMetrics.format();
    }

    /**
     * Refuses new work and waits until the accepted calls and pending step requests are answered,
     * at most for the drain time in the settings. Then hands its steps over to other entries and
     * closes.
     *
     * @return whether all calls and step requests were answered in time
     */
    public boolean drainAndClose() throws InterruptedException {
        drain();
        long deadline = System.nanoTime() + Nanos.ofMillis(mContext.mSettings.drainMillis());
        boolean idle = false;
        while (!idle && System.nanoTime() < deadline) {
            idle = mContext.mCallListeners.isEmpty() && mContext.mPendingStepRequests.isEmpty();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        mContext.mRolloutLoop.query(this::handOverSteps).join();
        close();
        return idle;
    }

    /** Closes immediately, without draining, so that peers see the same as after a crash. */
    @Override
    public void close() {
        mHttpServer.shutdownNow();
        mContext.close();
    }

    private boolean handOverSteps() {
        mContext.mRollout
                .handOver(System.nanoTime())
                .forEach((key, revision) -> mContext.mLeaseClient.release(key, revision).join());
        return true;
    }
}
