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
 * Compares what callers and trainers got with what the stand-ins' own logs say was run.
 *
 * <p>Not thread safe; used after the load has ended.
 */
final class DemoAudit {
    private static final long STALENESS_BOUND = 2;

    private final CallResults mCalls;
    private final StandinTrainer mTrainer;
    private final Map<String, EngineRun> mRuns = new HashMap<>();
    private final Map<String, Integer> mSyncRuns = new HashMap<>();
    private final List<String> mBroken = new ArrayList<>();

    DemoAudit(DemoFleet fleet, CallResults calls, StandinTrainer trainer) {
        mCalls = calls;
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
        long missing = missing();
        check(mCalls.mWrongAnswers.isEmpty(), "wrong or partial answers: " + mCalls.mWrongAnswers);
        check(missing == 0, missing + " samples are missing");
        check(mTrainer.completedSteps() > 0, "no step was completed: " + mTrainer.lastError());
        check(mCalls.mAnswered.get() > 0, "no call was answered");
        List<Long> idle = mTrainer.idleMillis();
        return new DemoReport(
                mCalls.mAnswered.get(),
                mCalls.mLate.get(),
                mCalls.mRefused.get(),
                mCalls.mFailed.get(),
                mCalls.latencyMillis(0.5),
                mCalls.latencyMillis(0.99),
                mCalls.mSyncAnswered.size()
                        + mCalls.mSyncNotRun.size()
                        + mCalls.mSyncUnknown.size(),
                mSyncRuns.size(),
                twice,
                mTrainer.completedSteps(),
                mTrainer.samples().size(),
                duplicates,
                missing,
                mTrainer.samples().stream().mapToLong(ReceivedSample::age).max().orElse(0),
                (long) idle.stream().mapToLong(Long::longValue).average().orElse(0),
                List.copyOf(mBroken));
    }

    private long checkSyncs() {
        long twice = mSyncRuns.values().stream().filter(count -> count > 1).count();
        check(twice == 0, twice + " syncs ran twice");
        for (String key : mCalls.mSyncNotRun) {
            check(!mSyncRuns.containsKey(key), key + " ran although it was called not run");
        }
        for (String key : mCalls.mSyncAnswered) {
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
        check(duplicates == 0, duplicates + " samples came twice");
        return duplicates;
    }

    private void checkSample(String slot, ReceivedSample sample) {
        check(sample.age() <= STALENESS_BOUND, slot + " is " + sample.age() + " versions old");
        check(sample.scored(), slot + " has no score");
        String runId = sample.text().substring(0, Math.max(0, sample.text().indexOf(':')));
        EngineRun run = mRuns.get(runId);
        check(run != null, slot + " is of no run of any engine");
        if (run != null) {
            boolean named = run.versions().equals(sample.versions());
            check(named, slot + " names " + sample.versions() + " but ran on " + run.versions());
            boolean whole =
                    DemoLoad.isCompleteAnswer(
                            sample.text(), run.prompt(), mTrainer.settings().maxTokens());
            check(whole && run.finished(), slot + " is not whole");
        }
    }

    private long missing() {
        Map<Long, Set<Integer>> bySteps = new HashMap<>();
        for (ReceivedSample sample : mTrainer.samples()) {
            bySteps.computeIfAbsent(sample.step(), key -> new HashSet<>()).add(sample.slot());
        }
        long missing = 0;
        for (long step = 0; step < mTrainer.completedSteps(); step++) {
            int got = bySteps.getOrDefault(step, Set.of()).size();
            missing += mTrainer.settings().samplesPerStep() - got;
        }
        return missing;
    }

    private void check(boolean holds, String broken) {
        if (!holds) {
            mBroken.add(broken);
        }
    }
}
