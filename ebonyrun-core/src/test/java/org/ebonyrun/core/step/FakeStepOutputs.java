package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.core.fleet.Endpoint;

/** Records the calls of a {@link StepMachine}. */
final class FakeStepOutputs implements StepOutputs {
    /** A run that was started. */
    record Run(long run, String sample, String endpoint, int lastEvent, RunOptions options) {}

    /** A write of results to the store. */
    record Store(StepId step, int position, List<SampleResult> results, boolean last) {}

    final List<Run> mRuns = new ArrayList<>();
    final Map<Long, Run> mOpenRuns = new LinkedHashMap<>();
    final Map<Long, String> mScores = new LinkedHashMap<>();
    final List<Store> mStores = new ArrayList<>();
    final List<String> mCancelReasons = new ArrayList<>();
    final List<String> mAbandonReasons = new ArrayList<>();
    final List<SampleCheckpoint> mDiscarded = new ArrayList<>();

    Run lastRun() {
        return mRuns.get(mRuns.size() - 1);
    }

    @Override
    public void startRun(
            long run,
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions options) {
        Run started = new Run(run, sample.id(), endpoint.id(), lastEvent, options);
        mRuns.add(started);
        mOpenRuns.put(run, started);
    }

    @Override
    public void cancelRun(long run, String reason) {
        mOpenRuns.remove(run);
        mCancelReasons.add(reason);
    }

    @Override
    public void startScoring(long run, StepSpec step, SampleSpec sample) {
        mScores.put(run, sample.id());
    }

    @Override
    public void cancelScoring(long run, String reason) {
        mScores.remove(run);
        mCancelReasons.add(reason);
    }

    @Override
    public void storeResults(StepId step, int position, List<SampleResult> results, boolean last) {
        mStores.add(new Store(step, position, results, last));
    }

    @Override
    public void onTextDiscarded(StepId step, SampleCheckpoint text, String reason) {
        mDiscarded.add(text);
    }

    @Override
    public void onAbandoned(StepId step, String sample, String reason) {
        mAbandonReasons.add(reason);
    }

    @Override
    public void onResultsListed(StepId step) {
        // Tests read the listed results from the state machine.
    }
}
