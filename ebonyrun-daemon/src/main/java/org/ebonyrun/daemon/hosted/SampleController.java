package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.RunOptions;
import org.ebonyrun.core.step.RunOutcome;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.ScoreCall;
import org.ebonyrun.core.step.ScoreOutcome;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.core.step.StepOutputs;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.core.workspace.Workspaces;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.SseEvent;

/**
 * Performs the I/O that the step state machine requests: runs samples at endpoints, sends the calls
 * that score them, and has their results stored.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class SampleController implements StepOutputs, SampleExchange.Listener {
    // A call that scores a sample times out after this multiple of its route's target latency.
    private static final long SCORE_TIMEOUT_FACTOR = 4;

    private final HostedContext mContext;
    private final AsyncHttpClient mHttpClient;
    private final StepMachine mMachine;
    private final Map<Long, SampleExchange> mRuns = new HashMap<>();
    // By run, the call that scores its sample.
    private final Map<Long, CallSpec> mScoreCalls = new HashMap<>();
    private final RouteFinder mRoutes;
    private CallController mCalls;
    private StepOwnership mOwnership;
    private StepReader mReader;

    /** Finds routes by host and path. */
    interface RouteFinder {
        /** Returns the route of a host and path; empty if there is none. */
        Optional<Route> find(String host, String path);
    }

    SampleController(
            HostedContext context, AsyncHttpClient httpClient, Fleet fleet, RouteFinder routes) {
        mContext = context;
        mHttpClient = httpClient;
        mRoutes = routes;
        mMachine = StepMachine.create(fleet, context.policy(), this);
    }

    StepMachine machine() {
        return mMachine;
    }

    void bind(CallController calls, StepOwnership ownership, StepReader reader) {
        mCalls = calls;
        mOwnership = ownership;
        mReader = reader;
    }

    @Override
    public void startRun(
            long run,
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions options) {
        SampleExchange exchange = new SampleExchange(run, endpoint, mContext, this);
        mRuns.put(run, exchange);
        LogLine line =
                LogLine.of("sample.sent")
                        .with("request", sample.id())
                        .with("step", step.id())
                        .with("run", run)
                        .with("endpoint", endpoint.id())
                        .with("version", endpoint.version(step.model()))
                        .with("software", endpoint.record().software())
                        .with("active", endpoint.activeRequests())
                        .with("expected_version", options.expectedVersion())
                        .with("expected_tokens", sample.expectedTokens())
                        .with("after", lastEvent);
        if (step.workspace() != null) {
            line.with("workspace", step.workspace());
        }
        mContext.log().write(EndpointExchange.withLimit(line, endpoint));
        mHttpClient.send(newRequest(step, sample, endpoint, lastEvent, options), exchange);
    }

    private HttpRequest newRequest(
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions options) {
        Workspaces workspaces = mContext.workspaces();
        if (step.workspace() == null && !workspaces.isEnabled()) {
            return EndpointProtocol.newRunRequest(
                    endpoint.record(), step.host(), sample, lastEvent, options);
        }
        return EndpointProtocol.newRunRequest(
                endpoint.record(),
                step.host(),
                sample,
                lastEvent,
                options,
                workspaces,
                step.workspace());
    }

    @Override
    public void cancelRun(long run, String reason) {
        SampleExchange exchange = mRuns.remove(run);
        if (exchange != null) {
            exchange.cancel();
            mContext.metrics().count(EntryMetrics.SAMPLE_RUNS, "STOPPED");
            LogLine line =
                    LogLine.of("sample.stopped")
                            .with("run", run)
                            .with("events", exchange.eventCount())
                            .with("why", reason);
            mContext.log().write(exchange.withConnection(line));
        }
    }

    @Override
    public void onStreamStart(long run, int version) {
        mMachine.onStreamStart(run, version, System.nanoTime());
    }

    @Override
    public void onEvents(long run, List<SseEvent> events) {
        long now = System.nanoTime();
        for (SseEvent event : events) {
            int version = EndpointProtocol.weightVersion(event);
            mMachine.onEvent(run, (int) event.id(), event.data(), version, now);
        }
    }

    @Override
    public void onEnd(long run, RunOutcome outcome, String detail) {
        SampleExchange exchange = mRuns.remove(run);
        if (exchange == null) {
            return;
        }
        mContext.metrics().count(EntryMetrics.SAMPLE_RUNS, outcome.name());
        LogLine line =
                LogLine.of("sample.run")
                        .with("run", run)
                        .with("events", exchange.eventCount())
                        .with("end", outcome)
                        .with("detail", detail);
        mContext.log().write(exchange.withConnection(line));
        mMachine.onRunEnd(run, outcome, System.nanoTime());
    }

    @Override
    public void startScoring(long run, StepSpec step, SampleSpec sample) {
        ScoreCall score =
                checkNotNull(sample.score(), "sample %s has no call that scores it", sample.id());
        long now = System.nanoTime();
        Optional<Route> route = mRoutes.find(score.host(), score.path());
        if (route.isEmpty()) {
            mContext.log().write(LogLine.of("score.unrouted").with("request", sample.id()));
            mMachine.onScoreEnd(run, ScoreOutcome.UNKNOWN, "", 0, 1, now);
            return;
        }
        WorkspaceName workspace = step.workspace();
        Route applied =
                Optional.ofNullable(workspace)
                        .flatMap(mContext.workspaces()::get)
                        .map(found -> found.applyTo(route.get()))
                        .orElse(route.get());
        long targetLatency = Nanos.ofMillis(route.get().call().targetLatencyMillis());
        CallSpec call =
                new CallSpec(
                        mCalls.nextCallId(),
                        score.id(),
                        applied,
                        route.get().services().get(0).service(),
                        now,
                        now + SCORE_TIMEOUT_FACTOR * targetLatency,
                        true,
                        null,
                        workspace);
        int maxAttempts = route.get().call().maxAttempts();
        mScoreCalls.put(run, call);
        mCalls.onScoreCall(
                call,
                score,
                (outcome, scoreText, failures) -> {
                    mScoreCalls.remove(run);
                    mMachine.onScoreEnd(
                            run, outcome, scoreText, failures, maxAttempts, System.nanoTime());
                },
                now);
    }

    @Override
    public void cancelScoring(long run, String reason) {
        CallSpec call = mScoreCalls.remove(run);
        if (call != null) {
            mContext.log()
                    .write(
                            LogLine.of("score.stopped")
                                    .with("request", call.requestId())
                                    .with("why", reason));
            mCalls.onScoreCancelled(call, System.nanoTime());
        }
    }

    @Override
    public void storeResults(StepId step, int position, List<SampleResult> results, boolean last) {
        mOwnership.append(step, position, results, last);
    }

    @Override
    public void onTextDiscarded(StepId step, SampleCheckpoint text, String reason) {
        mContext.metrics().count(EntryMetrics.SAMPLE_RUNS, "DISCARDED");
        mContext.log()
                .write(
                        LogLine.of("sample.restarted")
                                .with("request", text.id())
                                .with("step", step)
                                .with("events", text.events().size())
                                .with(
                                        "version",
                                        text.versions().isEmpty() ? 0 : text.versions().get(0))
                                .with("why", reason));
    }

    @Override
    public void onAbandoned(StepId step, String sample, String reason) {
        mContext.log()
                .write(
                        LogLine.of("sample.abandoned")
                                .with("request", sample)
                                .with("step", step)
                                .with("why", reason));
    }

    @Override
    public void onResultsListed(StepId step) {
        List<SampleResult> listed = mMachine.listedResults(step);
        if (listed != null) {
            mReader.onListed(step, listed);
        }
    }
}
