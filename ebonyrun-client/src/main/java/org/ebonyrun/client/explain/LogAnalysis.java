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
 * Steps, calls, weight versions and orders, as the logs of entries tell them.
 *
 * <p>Immutable. A line of which the log's bounds dropped the context counts for nothing.
 */
public final class LogAnalysis {
    /** The run of a sample: which step and sample an entry's run number means. */
    private record Run(StepSummary step, String sample) {}

    private final Map<String, StepSummary> mSteps = new LinkedHashMap<>();
    private final Map<String, CallSummary> mCalls = new LinkedHashMap<>();
    private final Map<String, Run> mRuns = new HashMap<>();
    private final Map<String, Long> mNamed = new HashMap<>();
    private final List<Long> mOrders = new ArrayList<>();
    private final long mBegin;

    private LogAnalysis(List<LogEvent> events) {
        mBegin = events.isEmpty() ? 0 : events.get(0).atMillis();
        events.forEach(this::take);
    }

    /** Reads events in any order. */
    public static LogAnalysis of(Collection<LogEvent> events) {
        List<LogEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(LogEvent::atMillis));
        return new LogAnalysis(sorted);
    }

    private void take(LogEvent event) {
        switch (event.name()) {
            case "step.owned" -> own(event);
            case "step.taken" -> withStep(event, StepSummary::onOwnerChange);
            case "step.end", "step.ended" ->
                    withStep(event, step -> step.onEnded(event.atMillis()));
            case "sample.sent" -> send(event);
            case "sample.run", "sample.stopped" -> endRun(event);
            case "version.named" ->
                    mNamed.putIfAbsent(
                            version(event.getText("model"), event.getInt("version")),
                            event.atMillis());
            case "order" -> mOrders.add(event.atMillis());
            case "call.sent" -> call(event);
            case "call.attempt" -> call(event).onAttempt(event.getText("end"), event.atMillis());
            case "call.failed", "call.refused" ->
                    call(event).onFailure(event.getText("why"), event.atMillis());
            default -> {
                // Tells nothing of a step or call.
            }
        }
    }

    private void own(LogEvent event) {
        mSteps.putIfAbsent(
                event.getText("step"),
                new StepSummary(
                        event.getText("step"),
                        event.getText("model"),
                        event.getInt("number"),
                        event.getInt("samples"),
                        event.atMillis()));
    }

    private void withStep(LogEvent event, Consumer<StepSummary> use) {
        StepSummary step = mSteps.get(event.getText("step"));
        if (step != null) {
            use.accept(step);
        }
    }

    private void send(LogEvent event) {
        withStep(
                event,
                step -> {
                    step.onSampleSent(event.getText("request"));
                    mRuns.put(run(event), new Run(step, event.getText("request")));
                });
    }

    private void endRun(LogEvent event) {
        // A run that was stopped may still tell its end.
        Run run = mRuns.remove(run(event));
        if (run == null) {
            return;
        }
        String end = event.getText("end");
        if (end.equals("COMPLETE")) {
            run.step().onSampleComplete(run.sample(), event.atMillis());
        } else {
            run.step().onFailedRun(end.isEmpty() ? reason(event.getText("why")) : end);
        }
    }

    /** Returns a reason without the figures in it, so that equal reasons count together. */
    private static String reason(String why) {
        int colon = why.indexOf(':');
        String text = colon < 0 ? why : why.substring(0, colon);
        return text.replaceAll(" for [0-9]+ ms", "");
    }

    private CallSummary call(LogEvent event) {
        return mCalls.computeIfAbsent(
                event.getText("request"), request -> new CallSummary(request, event.atMillis()));
    }

    private static String run(LogEvent event) {
        return event.process() + "/" + event.getText("run");
    }

    private static String version(String model, int number) {
        return model + "/" + number;
    }

    /** Returns when the first line was written, in milliseconds since the epoch. */
    public long beginMillis() {
        return mBegin;
    }

    /** Returns the steps by trainer and number. */
    public List<StepSummary> steps() {
        List<StepSummary> steps = new ArrayList<>(mSteps.values());
        steps.sort(Comparator.comparing(StepSummary::model).thenComparingInt(StepSummary::number));
        return steps;
    }

    /** Returns when a version was named; empty if no line tells. */
    public OptionalLong versionNamedAt(String model, int version) {
        @Nullable Long at = mNamed.get(version(model, version));
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }

    /** Returns the calls that took longer than a time, in milliseconds, or failed. */
    public List<CallSummary> lateOrFailedCalls(long lateMillis) {
        return mCalls.values().stream()
                .filter(call -> call.durationMillis() > lateMillis || !call.failure().isEmpty())
                .toList();
    }

    /** Returns the longest time in which no order was given, as its begin and end. */
    public List<Long> longestOrderGap() {
        long begin = mBegin;
        long end = mBegin;
        for (int i = 1; i < mOrders.size(); i++) {
            if (mOrders.get(i) - mOrders.get(i - 1) > end - begin) {
                begin = mOrders.get(i - 1);
                end = mOrders.get(i);
            }
        }
        return List.of(begin, end);
    }
}
