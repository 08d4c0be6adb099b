package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A step ends at any point of its runs and scoring calls. Guards against work that goes on, or
 * begins, after the end of its step.
 */
class StepEndTest {
    private static final StepId STEP = StepId.of("step");
    private static final int SAMPLES = 6;
    private static final int EVENTS = 4;
    private static final int MAX_FAILURES = 3;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long ABANDON_MILLIS = 600;
    private static final long LONG_AFTER_NANOS = Nanos.ofMillis(60_000);
    private static final Route ROUTE =
            EndpointFixtures.route(
                    RouteKind.STEPS,
                    new CallOptions(10_000, 500, 3, 0),
                    new StepOptions(300, ABANDON_MILLIS, false));

    private enum End {
        BY_TRAINER,
        LOST,
        HANDED_OVER,
        OVERDUE
    }

    private final Fleet mFleet = Fleet.create();
    private final FakeStepOutputs mOutputs = new FakeStepOutputs();
    private final StepMachine mMachine = StepMachine.create(mFleet, Policy.ALL, mOutputs);
    private Random mRandom = new Random(0);
    private long mNow;

    static IntStream seeds() {
        return IntStream.range(0, 400);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void nothingRunsAfterTheEndOfItsStep(int seed) {
        mRandom = new Random(seed);
        End end = End.values()[mRandom.nextInt(End.values().length)];
        mFleet.onRecord(EndpointFixtures.record("e1", 2, 1));
        mFleet.onRecord(EndpointFixtures.record("e2", 2, 1));
        List<SampleSpec> samples = new ArrayList<>();
        for (int i = 0; i < SAMPLES; i++) {
            ScoreCall score = new ScoreCall("score-" + i, "x", "/s", new byte[0]);
            samples.add(new SampleSpec("s" + i, "/g", Map.of(), new byte[0], 1, "g", score));
        }
        StepSpec step = new StepSpec(STEP, "x", "/", 3, EndpointFixtures.MODEL, 1, 1, samples);
        mMachine.onStepAcquired(step, ROUTE, List.of(), List.of(), 0, 0);
        int ticks = mRandom.nextInt(40);
        for (int i = 0; i < ticks; i++) {
            work();
        }
        end(end);

        assertThat(end + " leaves runs", mOutputs.mOpenRuns, is(anEmptyMap()));
        assertThat(end + " leaves scoring calls", mOutputs.mScores, is(anEmptyMap()));
        int runs = mOutputs.mRuns.size();
        for (int i = 0; i < 20; i++) {
            work();
        }
        assertThat(end + " is followed by runs", mOutputs.mRuns, hasSize(runs));
        assertThat(end + " is followed by scoring calls", mOutputs.mScores, is(anEmptyMap()));
        for (String id : List.of("e1", "e2")) {
            assertThat("requests at " + id, mFleet.get(id).activeRequests(), is(0));
        }
    }

    private void end(End end) {
        switch (end) {
            case BY_TRAINER -> mMachine.onStepEnded(STEP);
            case LOST -> mMachine.onOwnershipLost(STEP);
            case HANDED_OVER -> mMachine.handOver(STEP);
            case OVERDUE -> {
                mNow += LONG_AFTER_NANOS;
                mMachine.onTick(mNow);
            }
            default -> throw new IllegalStateException("unexpected end: " + end);
        }
    }

    private void work() {
        mNow += TICK_NANOS;
        for (FakeStepOutputs.Run run : List.copyOf(mOutputs.mOpenRuns.values())) {
            if (mOutputs.mOpenRuns.containsKey(run.run())) {
                advance(run);
            }
        }
        for (Long run : List.copyOf(mOutputs.mScores.keySet())) {
            if (mRandom.nextInt(4) == 0) {
                mOutputs.mScores.remove(run);
                ScoreOutcome outcome = ScoreOutcome.values()[mRandom.nextInt(3)];
                int failures = outcome == ScoreOutcome.FAILED ? 1 : 0;
                mMachine.onScoreEnd(run, outcome, "stamp", failures, MAX_FAILURES, mNow);
            }
        }
        mMachine.onTick(mNow);
        if (!mOutputs.mStores.isEmpty() && mRandom.nextInt(3) == 0) {
            mOutputs.mStores.clear();
            mMachine.onResultsStored(STEP, mNow);
        }
    }

    private void advance(FakeStepOutputs.Run run) {
        int step = mRandom.nextInt(EVENTS + 2);
        if (step < 2) {
            mOutputs.mOpenRuns.remove(run.run());
            RunOutcome[] outcomes = RunOutcome.values();
            mMachine.onRunEnd(run.run(), outcomes[mRandom.nextInt(outcomes.length)], mNow);
        } else if (step == 2) {
            mMachine.onStreamStart(run.run(), 1, mNow);
        }
    }
}
