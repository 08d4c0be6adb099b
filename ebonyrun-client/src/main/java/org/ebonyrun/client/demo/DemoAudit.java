package org.ebonyrun.client.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.standin.engine.EngineRun;
import org.ebonyrun.standin.engine.StandinEngine;
import org.ebonyrun.standin.engine.StandinService;
import org.ebonyrun.standin.trainer.ReceivedSample;
import org.ebonyrun.standin.trainer.StandinTrainer;

/**
 * Compares the responses that callers and trainers received with the runs in the stand-ins' logs.
 *
 * <p>Not thread safe; used after the load has ended.
 */
final class DemoAudit {
    private static final long MAX_AGE_VERSIONS = 2;

    private final CallResults mCallResults;
    private final StandinTrainer mTrainer;
    private final Map<String, EngineRun> mRuns = new HashMap<>();
    private final Map<String, Integer> mSyncRuns = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();

    DemoAudit(DemoFleet fleet, CallResults calls, StandinTrainer trainer) {
        mCallResults = calls;
        mTrainer = trainer;
        for (StandinEngine engine : fleet.engines()) {
            engine.log().forEach(run -> mRuns.put(run.runId(), run));
        }
        for (StandinService service : fleet.services()) {
            service.log().forEach(body -> mSyncRuns.merge(body.replace("\"", ""), 1, Integer::sum));
        }
    }

    DemoReport createReport() {
        long twice = checkSyncs();
        long duplicates = checkSamples();
        long missing = countMissing();
        check(
                mCallResults.mWrongAnswers.isEmpty(),
                "wrong or incomplete answers: " + mCallResults.mWrongAnswers);
        check(missing == 0, missing + " samples are missing");
        check(mTrainer.completedSteps() > 0, "no step was completed: " + mTrainer.lastError());
        check(mCallResults.mAnswered.get() > 0, "no call was answered");
        List<Long> idle = mTrainer.idleMillis();
        return new DemoReport(
                mCallResults.mAnswered.get(),
                mCallResults.mLate.get(),
                mCallResults.mRefused.get(),
                mCallResults.mFailed.get(),
                mCallResults.latencyMillis(0.5),
                mCallResults.latencyMillis(0.99),
                mCallResults.mSyncAnswered.size()
                        + mCallResults.mSyncNotRun.size()
                        + mCallResults.mSyncUnknown.size(),
                mSyncRuns.size(),
                twice,
                mTrainer.completedSteps(),
                mTrainer.samples().size(),
                duplicates,
                missing,
                mTrainer.samples().stream().mapToLong(ReceivedSample::age).max().orElse(0),
                (long) idle.stream().mapToLong(Long::longValue).average().orElse(0),
                List.copyOf(mViolations));
    }

    private long checkSyncs() {
        long twice = mSyncRuns.values().stream().filter(count -> count > 1).count();
        check(twice == 0, twice + " syncs ran more than once");
        for (String key : mCallResults.mSyncNotRun) {
            check(!mSyncRuns.containsKey(key), key + " ran although it was reported as not run");
        }
        for (String key : mCallResults.mSyncAnswered) {
            check(mSyncRuns.containsKey(key), key + " was answered but did not run");
        }
        return twice;
    }

    private long checkSamples() {
        Set<String> slots = new HashSet<>();
        long duplicates = 0;
        for (ReceivedSample sample : mTrainer.samples()) {
            String slot = sample.step() + "/" + sample.slot();
            if (!slots.add(slot)) {
                duplicates++;
            }
            checkSample(slot, sample);
        }
        check(duplicates == 0, duplicates + " samples arrived more than once");
        return duplicates;
    }

    private void checkSample(String slot, ReceivedSample sample) {
        check(sample.age() <= MAX_AGE_VERSIONS, slot + " is " + sample.age() + " versions old");
        check(sample.scored(), slot + " has no score");
        String runId = sample.text().substring(0, Math.max(0, sample.text().indexOf(':')));
        EngineRun run = mRuns.get(runId);
        check(run != null, slot + " belongs to no run of any engine");
        if (run != null) {
            boolean versionsMatch = run.versions().equals(sample.versions());
            check(
                    versionsMatch,
                    slot
                            + " states versions "
                            + sample.versions()
                            + " instead of "
                            + run.versions());
            boolean complete =
                    DemoLoad.isCompleteAnswer(
                            sample.text(), run.prompt(), mTrainer.settings().maxTokens());
            check(complete && run.finished(), slot + " is incomplete");
        }
    }

    private long countMissing() {
        Map<Long, Set<Integer>> slotsByStep = new HashMap<>();
        for (ReceivedSample sample : mTrainer.samples()) {
            slotsByStep.computeIfAbsent(sample.step(), key -> new HashSet<>()).add(sample.slot());
        }
        long missing = 0;
        for (long step = 0; step < mTrainer.completedSteps(); step++) {
            int received = slotsByStep.getOrDefault(step, Set.of()).size();
            missing += mTrainer.settings().samplesPerStep() - received;
        }
        return missing;
    }

    private void check(boolean condition, String violation) {
        if (!condition) {
            mViolations.add(violation);
        }
    }
}
