package org.ebonyrun.client.explain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Steps, calls, weight versions and orders, reconstructed from the log events of entries.
 *
 * <p>Immutable. Logs are bounded, so earlier lines may be missing: an event that refers to a step
 * or run whose first event is missing is ignored.
 */
public final class LogAnalysis {
    /** The step and sample of one run. Run numbers are unique within an entry's process. */
    private record Run(StepSummary step, String sample) {}

    private final Map<String, StepSummary> mSteps = new LinkedHashMap<>();
    private final Map<String, CallSummary> mCalls = new LinkedHashMap<>();
    private final Map<String, Run> mRuns = new HashMap<>();
    private final Map<String, Long> mVersionNamedAt = new HashMap<>();
    private final List<Long> mOrderTimes = new ArrayList<>();
    private final long mBeginMillis;

    private LogAnalysis(List<LogEvent> events) {
        mBeginMillis = events.isEmpty() ? 0 : events.get(0).atMillis();
        events.forEach(this::process);
    }

    /** Analyzes events, which may be in any order. */
    public static LogAnalysis of(Collection<LogEvent> events) {
        List<LogEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(LogEvent::atMillis));
        return new LogAnalysis(sorted);
    }

    private void process(LogEvent event) {
        switch (event.name()) {
            case "step.owned" -> addStep(event);
            case "step.taken" -> withStep(event, StepSummary::onOwnerChange);
            case "step.end", "step.ended" ->
                    withStep(event, step -> step.onEnded(event.atMillis()));
            case "sample.sent" -> startRun(event);
            case "sample.run", "sample.stopped" -> endRun(event);
            case "version.named" ->
                    mVersionNamedAt.putIfAbsent(
                            versionKey(event.getText("model"), event.getInt("version")),
                            event.atMillis());
            case "order" -> mOrderTimes.add(event.atMillis());
            case "call.sent" -> getOrAddCall(event);
            case "call.attempt" ->
                    getOrAddCall(event).onAttempt(event.getText("end"), event.atMillis());
            case "call.failed", "call.refused" ->
                    getOrAddCall(event).onFailure(event.getText("why"), event.atMillis());
            default -> {
                // Other events are not analyzed.
            }
        }
    }

    private void addStep(LogEvent event) {
        mSteps.putIfAbsent(
                event.getText("step"),
                new StepSummary(
                        event.getText("step"),
                        event.getText("model"),
                        event.getInt("number"),
                        event.getInt("samples"),
                        event.atMillis()));
    }

    private void withStep(LogEvent event, Consumer<StepSummary> action) {
        StepSummary step = mSteps.get(event.getText("step"));
        if (step != null) {
            action.accept(step);
        }
    }

    private void startRun(LogEvent event) {
        withStep(
                event,
                step -> {
                    step.onSampleSent(event.getText("request"));
                    mRuns.put(runKey(event), new Run(step, event.getText("request")));
                });
    }

    private void endRun(LogEvent event) {
        // A stopped run may log its end too; only the first of the two events counts.
        Run run = mRuns.remove(runKey(event));
        if (run == null) {
            return;
        }
        String outcome = event.getText("end");
        if (outcome.equals("COMPLETE")) {
            run.step().onSampleComplete(run.sample(), event.atMillis());
        } else {
            run.step()
                    .onFailedRun(
                            outcome.isEmpty() ? withoutFigures(event.getText("why")) : outcome);
        }
    }

    /**
     * Removes the figures from a reason, so that runs with the same reason are counted together.
     */
    private static String withoutFigures(String reason) {
        int colon = reason.indexOf(':');
        String text = colon < 0 ? reason : reason.substring(0, colon);
        return text.replaceAll(" for [0-9]+ ms", "");
    }

    private CallSummary getOrAddCall(LogEvent event) {
        return mCalls.computeIfAbsent(
                event.getText("request"), request -> new CallSummary(request, event.atMillis()));
    }

    private static String runKey(LogEvent event) {
        return event.process() + "/" + event.getText("run");
    }

    private static String versionKey(String model, int number) {
        return model + "/" + number;
    }

    /** Returns the time of the first event, in milliseconds since the epoch. */
    public long beginMillis() {
        return mBeginMillis;
    }

    /** Returns the steps, ordered by model and number. */
    public List<StepSummary> steps() {
        List<StepSummary> steps = new ArrayList<>(mSteps.values());
        steps.sort(Comparator.comparing(StepSummary::model).thenComparingInt(StepSummary::number));
        return steps;
    }

    /** Returns when the first entry logged that a version was named; empty if none did. */
    public OptionalLong versionNamedAt(String model, int version) {
        @Nullable Long at = mVersionNamedAt.get(versionKey(model, version));
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }

    /** Returns the calls that took longer than {@code lateMillis}, failed or were refused. */
    public List<CallSummary> lateOrFailedCalls(long lateMillis) {
        return mCalls.values().stream()
                .filter(call -> call.durationMillis() > lateMillis || !call.failure().isEmpty())
                .toList();
    }

    /** Returns the start and end of the longest time between two successive orders. */
    public List<Long> longestOrderGap() {
        long begin = mBeginMillis;
        long end = mBeginMillis;
        for (int i = 1; i < mOrderTimes.size(); i++) {
            if (mOrderTimes.get(i) - mOrderTimes.get(i - 1) > end - begin) {
                begin = mOrderTimes.get(i - 1);
                end = mOrderTimes.get(i);
            }
        }
        return List.of(begin, end);
    }
}
