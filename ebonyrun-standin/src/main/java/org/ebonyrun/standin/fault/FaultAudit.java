package org.ebonyrun.standin.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.standin.virtual.CallOutcome;
import org.ebonyrun.standin.virtual.FaultPlan;
import org.ebonyrun.standin.virtual.VirtualDeployment;
import org.ebonyrun.standin.virtual.VirtualRun;
import org.ebonyrun.standin.virtual.VirtualSample;
import org.ebonyrun.standin.virtual.VirtualTrainer;

/**
 * Checks the nine promises of the brief against the logs of endpoints, callers and trainers, and
 * that work goes on once the faults are over.
 *
 * <p>Not thread safe; used after a run.
 */
final class FaultAudit {
    static final int MIN_STEPS = 3;

    private static final double MIN_ANSWERED = 0.5;

    private final VirtualDeployment mWorld;
    private final VirtualTrainer mTrainer;
    private final List<CallRecord> mCalls;
    private final VirtualOperators mConfigs;
    private final FaultPlan mPlan;
    private final Map<String, VirtualRun> mRuns = new HashMap<>();
    private final Map<String, Integer> mRunsByPrompt = new HashMap<>();
    private final List<String> mBroken = new ArrayList<>();

    FaultAudit(
            VirtualDeployment world,
            VirtualTrainer trainer,
            List<CallRecord> calls,
            VirtualOperators configs,
            FaultPlan plan) {
        mWorld = world;
        mTrainer = trainer;
        mCalls = calls;
        mConfigs = configs;
        mPlan = plan;
        world.agents()
                .forEach(
                        agent ->
                                agent.engine()
                                        .log()
                                        .forEach(
                                                run -> {
                                                    mRuns.put(run.runId(), run);
                                                    mRunsByPrompt.merge(
                                                            run.prompt(), 1, Integer::sum);
                                                }));
    }

    List<String> check() {
        checkSamples();
        checkCalls();
        checkNonIdempotent();
        checkProcesses();
        checkProgress();
        return List.copyOf(mBroken);
    }

    private void checkSamples() {
        Set<String> slots = new HashSet<>();
        for (VirtualSample sample : mTrainer.samples()) {
            String slot = "sample " + sample.step() + "/" + sample.slot();
            expect(slots.add(slot), "3 " + slot + " was delivered twice");
            expect(
                    sample.age() <= FaultScenario.MAX_STALENESS,
                    "2 " + slot + " is " + sample.age() + " versions old");
            VirtualRun run = mRuns.get(runId(sample.text()));
            expect(run != null, "4 " + slot + " is of no run");
            if (run != null) {
                expect(
                        run.versions().equals(sample.versions()),
                        "1 " + slot + " names " + sample.versions() + " of " + run.versions());
                expect(isWhole(run, sample.text()), "4 " + slot + " is not whole");
            }
        }
        Map<Long, Integer> counts = new HashMap<>();
        mTrainer.samples().forEach(sample -> counts.merge(sample.step(), 1, Integer::sum));
        for (long step = 0; step < mTrainer.idleNanos().size(); step++) {
            int count = counts.getOrDefault(step, 0);
            expect(
                    count == mTrainer.options().samplesPerStep(),
                    "3 step " + step + " completed with " + count + " samples");
        }
    }

    private void checkCalls() {
        for (CallRecord record : mCalls) {
            CallOutcome end = record.outcome();
            String prompt = record.call().request().prompt();
            if (end.text() != null) {
                VirtualRun run = mRuns.get(runId(end.text()));
                boolean own = run != null && run.prompt().equals(prompt);
                expect(own, "4 " + prompt + " got " + end.text());
                expect(run != null && isWhole(run, end.text()), "4 " + prompt + " got a part");
            } else if (end.isNotRun()) {
                expect(
                        !mRunsByPrompt.containsKey(prompt),
                        "5 " + prompt + " ran although it was told not run: " + end.fault());
            }
        }
    }

    private void checkNonIdempotent() {
        Map<String, Integer> byKey = new HashMap<>();
        for (CallRecord record : mCalls) {
            if (record.call().idempotent()) {
                continue;
            }
            String prompt = record.call().request().prompt();
            int runs = mRunsByPrompt.getOrDefault(prompt, 0);
            String key =
                    record.call().idempotencyKey() == null
                            ? prompt
                            : record.call().idempotencyKey();
            byKey.merge(key, runs, Integer::sum);
        }
        byKey.forEach((key, runs) -> expect(runs <= 1, "6 " + key + " ran " + runs + " times"));
    }

    private void checkProcesses() {
        mBroken.addAll(mWorld.findProcessViolations(mConfigs.highestAcceptedVersion()));
        mConfigs.findViolations().forEach(text -> mBroken.add("9 " + text));
        if (mPlan.injectedCount() == 0) {
            mConfigs.lateProcesses().forEach(text -> mBroken.add("9 after 14 s " + text));
            for (CallRecord record : mCalls) {
                boolean interrupted =
                        record.outcome().text() == null && !record.outcome().isNotRun();
                String prompt = record.call().request().prompt();
                expect(!interrupted, "8 " + prompt + " was interrupted: " + record.outcome());
            }
        }
    }

    private void checkProgress() {
        expect(mTrainer.isStopped(), "progress: the trainer waits for ever");
        int steps = mTrainer.idleNanos().size();
        expect(steps >= MIN_STEPS, "progress: only " + steps + " steps");
        long answered = mCalls.stream().filter(call -> call.outcome().text() != null).count();
        expect(
                answered >= mCalls.size() * MIN_ANSWERED,
                "progress: only " + answered + " of " + mCalls.size() + " calls answered");
    }

    private static boolean isWhole(VirtualRun run, String text) {
        return run.isFinished() && run.completeText(FaultScenario.TOKENS_PER_PIECE).equals(text);
    }

    private static String runId(String text) {
        return text.substring(0, Math.max(0, text.indexOf(':')));
    }

    private void expect(boolean holds, String broken) {
        if (!holds) {
            mBroken.add(broken);
        }
    }
}
