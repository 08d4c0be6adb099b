package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.RunOptions;
import org.ebonyrun.core.step.RunOutcome;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.ScoreCall;
import org.ebonyrun.core.step.ScoreOutcome;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.core.step.StepOutputs;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.SseEvent;

/**
 * Carries out what the step machine decides: runs of samples, scores, results to store.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class SampleController implements StepOutputs, SampleExchange.Listener {
    // A score may take this many times the goal of its route.
    private static final long SCORE_GOALS = 4;

    private final HostedContext mParts;
    private final AsyncHttpClient mCaller;
    private final StepMachine mMachine;
    private final Map<Long, SampleExchange> mRuns = new HashMap<>();
    private final RouteFinder mRoutes;
    private CallController mCalls;
    private StepOwnership mOwner;
    private StepReader mReader;

    /** Finds the route of a host and path. */
    interface RouteFinder {
        /** Returns the route, if there is one. */
        Optional<Route> find(String host, String path);
    }

    SampleController(HostedContext parts, AsyncHttpClient caller, Fleet fleet, RouteFinder routes) {
        mParts = parts;
        mCaller = caller;
        mRoutes = routes;
        mMachine = StepMachine.create(fleet, parts.policy(), this);
    }

    StepMachine machine() {
        return mMachine;
    }

    void bind(CallController calls, StepOwnership owner, StepReader reader) {
        mCalls = calls;
        mOwner = owner;
        mReader = reader;
    }

    @Override
    public void startRun(
            long run,
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions terms) {
        SampleExchange exchange = new SampleExchange(run, endpoint.id(), mParts.executor(), this);
        mRuns.put(run, exchange);
        mParts.log()
                .write(
                        LogLine.of("sample.sent")
                                .with("request", sample.id())
                                .with("step", step.id())
                                .with("run", run)
                                .with("endpoint", endpoint.id())
                                .with("version", endpoint.version(step.model()))
                                .with("active", endpoint.activeRequests())
                                .with("expected_version", terms.expectedVersion())
                                .with("expected_tokens", sample.expectedTokens())
                                .with("after", lastEvent));
        exchange.setExchange(
                mCaller.send(
                        EndpointProtocol.newRunRequest(
                                endpoint.record(), step.host(), sample, lastEvent, terms),
                        exchange));
    }

    @Override
    public void cancelRun(long run, String reason) {
        SampleExchange exchange = mRuns.remove(run);
        if (exchange != null) {
            exchange.cancel();
            mParts.metrics().count(EntryMetrics.SAMPLE_RUNS, "STOPPED");
            LogLine line =
                    LogLine.of("sample.stopped")
                            .with("run", run)
                            .with("events", exchange.eventCount())
                            .with("why", reason);
            mParts.log().write(exchange.withConnection(line));
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
    public void onEnd(long run, RunOutcome end, String detail) {
        SampleExchange exchange = mRuns.remove(run);
        if (exchange == null) {
            return;
        }
        mParts.metrics().count(EntryMetrics.SAMPLE_RUNS, end.name());
        LogLine line =
                LogLine.of("sample.run")
                        .with("run", run)
                        .with("events", exchange.eventCount())
                        .with("end", end)
                        .with("detail", detail);
        mParts.log().write(exchange.withConnection(line));
        mMachine.onRunEnd(run, end, System.nanoTime());
    }

    @Override
    public void startScoring(long run, StepSpec step, SampleSpec sample) {
        ScoreCall score =
                checkNotNull(sample.score(), "sample %s has no score to ask for", sample.id());
        long now = System.nanoTime();
        Optional<Route> route = mRoutes.find(score.host(), score.path());
        if (route.isEmpty()) {
            mParts.log().write(LogLine.of("score.unrouted").with("request", sample.id()));
            mMachine.onScoreEnd(run, ScoreOutcome.UNKNOWN, "", 0, 1, now);
            return;
        }
        long goal = Nanos.ofMillis(route.get().call().targetLatencyMillis());
        CallSpec call =
                new CallSpec(
                        mCalls.nextCallId(),
                        score.id(),
                        route.get(),
                        route.get().services().get(0).service(),
                        now,
                        now + SCORE_GOALS * goal,
                        true);
        int allowed = route.get().call().maxAttempts();
        mCalls.onScoreCall(
                call,
                score,
                (end, text, errors) ->
                        mMachine.onScoreEnd(run, end, text, errors, allowed, System.nanoTime()),
                now);
    }

    @Override
    public void storeResults(StepId step, int position, List<SampleResult> results, boolean last) {
        mOwner.append(step, position, results, last);
    }

    @Override
    public void onResultsListed(StepId step) {
        List<SampleResult> listed = mMachine.listedResults(step);
        if (listed != null) {
            mReader.onListed(step, listed);
        }
    }
}
