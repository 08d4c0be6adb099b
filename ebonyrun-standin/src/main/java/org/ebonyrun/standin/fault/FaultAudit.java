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
 * Checks the guarantees of the service against the logs of endpoints, callers and trainers, and
 * that work makes progress after the faults. The text of a violation starts with "progress", with
 * "fence", or with the number of the violated guarantee:
 *
 * <ol>
 *   <li>A sample states the weight versions that generated it.
 *   <li>A sample is within the staleness bound.
 *   <li>Each sample of a step is delivered exactly once.
 *   <li>A delivered text is complete and belongs to its request.
 *   <li>Work that is reported as not run has not run.
 *   <li>A non-idempotent call runs at most once.
 *   <li>A draining agent starts no new work.
 *   <li>Without faults, no call is interrupted.
 *   <li>Accepted configurations are stored, adopted by all processes, and not reverted.
 * </ol>
 *
 * <p>Not thread safe; used after a run.
 */
final class FaultAudit {
    static final int MIN_STEPS = 3;

    private static final double MIN_ANSWERED_SHARE = 0.5;

    private final VirtualDeployment mDeployment;
    private final VirtualTrainer mTrainer;
    private final List<CallRecord> mCalls;
    private final VirtualOperators mOperators;
    private final FaultPlan mFaultPlan;
    private final Map<String, VirtualRun> mRunsById = new HashMap<>();
    private final Map<String, Integer> mRunCountsByPrompt = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();

    FaultAudit(
            VirtualDeployment deployment,
            VirtualTrainer trainer,
            List<CallRecord> calls,
            VirtualOperators operators,
            FaultPlan faultPlan) {
        mDeployment = deployment;
        mTrainer = trainer;
        mCalls = calls;
        mOperators = operators;
        mFaultPlan = faultPlan;
        deployment
                .agents()
                .forEach(
                        agent ->
                                agent.engine()
                                        .log()
                                        .forEach(
                                                run -> {
                                                    mRunsById.put(run.runId(), run);
                                                    mRunCountsByPrompt.merge(
                                                            run.prompt(), 1, Integer::sum);
                                                }));
    }

    List<String> check() {
        checkSamples();
        checkCalls();
        checkNonIdempotent();
        checkProcesses();
        checkProgress();
        return List.copyOf(mViolations);
    }

    private void checkSamples() {
        Set<String> slots = new HashSet<>();
        for (VirtualSample sample : mTrainer.samples()) {
            String slot = "sample " + sample.step() + "/" + sample.slot();
            expect(slots.add(slot), "3 " + slot + " was delivered twice");
            expect(
                    sample.age() <= FaultScenario.MAX_STALENESS,
                    "2 " + slot + " is " + sample.age() + " versions old");
            VirtualRun run = mRunsById.get(runId(sample.text()));
            expect(run != null, "4 " + slot + " belongs to no run");
            if (run != null) {
                expect(
                        run.versions().equals(sample.versions()),
                        "1 "
                                + slot
                                + " states versions "
                                + sample.versions()
                                + " instead of "
                                + run.versions());
                expect(isComplete(run, sample.text()), "4 " + slot + " is incomplete");
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
            CallOutcome outcome = record.outcome();
            String prompt = record.call().request().prompt();
            if (outcome.text() != null) {
                VirtualRun run = mRunsById.get(runId(outcome.text()));
                boolean isRunOfCall = run != null && run.prompt().equals(prompt);
                expect(isRunOfCall, "4 " + prompt + " got " + outcome.text());
                expect(
                        run != null && isComplete(run, outcome.text()),
                        "4 " + prompt + " got an incomplete response");
            } else if (outcome.isNotRun()) {
                expect(
                        !mRunCountsByPrompt.containsKey(prompt),
                        "5 "
                                + prompt
                                + " ran although it was reported as not run: "
                                + outcome.fault());
            }
        }
    }

    private void checkNonIdempotent() {
        Map<String, Integer> runsByKey = new HashMap<>();
        for (CallRecord record : mCalls) {
            if (record.call().idempotent()) {
                continue;
            }
            String prompt = record.call().request().prompt();
            int runs = mRunCountsByPrompt.getOrDefault(prompt, 0);
            String key =
                    record.call().idempotencyKey() == null
                            ? prompt
                            : record.call().idempotencyKey();
            runsByKey.merge(key, runs, Integer::sum);
        }
        runsByKey.forEach((key, runs) -> expect(runs <= 1, "6 " + key + " ran " + runs + " times"));
    }

    private void checkProcesses() {
        mViolations.addAll(mDeployment.findProcessViolations(mOperators.highestAcceptedVersion()));
        mOperators.findViolations().forEach(text -> mViolations.add("9 " + text));
        if (mFaultPlan.injectedCount() == 0) {
            mOperators.lateProcesses().forEach(text -> mViolations.add("9 after 14 s " + text));
            for (CallRecord record : mCalls) {
                boolean interrupted =
                        record.outcome().text() == null && !record.outcome().isNotRun();
                String prompt = record.call().request().prompt();
                expect(!interrupted, "8 " + prompt + " was interrupted: " + record.outcome());
            }
        }
    }

    private void checkProgress() {
        expect(mTrainer.isStopped(), "progress: the trainer has not stopped");
        int steps = mTrainer.idleNanos().size();
        expect(steps >= MIN_STEPS, "progress: only " + steps + " steps completed");
        long answered = mCalls.stream().filter(call -> call.outcome().text() != null).count();
        expect(
                answered >= mCalls.size() * MIN_ANSWERED_SHARE,
                "progress: only " + answered + " of " + mCalls.size() + " calls answered");
    }

    private static boolean isComplete(VirtualRun run, String text) {
        return run.isFinished() && run.completeText(FaultScenario.TOKENS_PER_PIECE).equals(text);
    }

    private static String runId(String text) {
        return text.substring(0, Math.max(0, text.indexOf(':')));
    }

    private void expect(boolean condition, String violation) {
        if (!condition) {
            mViolations.add(violation);
        }
    }
}
