package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.junit.jupiter.api.Test;

class SampleMigrationTest {
    private static final long MILLI = Nanos.PER_MILLI;
    private static final int MIN_VERSION = 2;

    private final Fleet mFleet = Fleet.create();
    private final FakeStepOutputs mOutputs = new FakeStepOutputs();
    private final StepMachine mMachine = StepMachine.create(mFleet, Policy.ALL, mOutputs);

    /** Returns a sample that is its own group. */
    private static SampleSpec sample(String id, long tokens) {
        return new SampleSpec(id, "/g", Map.of(), new byte[0], tokens, id, null);
    }

    private void acquireStep(SampleSpec... samples) {
        StepSpec spec =
                new StepSpec(
                        StepId.of("step"),
                        "x",
                        "/",
                        3,
                        EndpointFixtures.MODEL,
                        MIN_VERSION,
                        samples.length,
                        List.of(samples));
        mMachine.onStepAcquired(
                spec,
                EndpointFixtures.route(
                        RouteKind.STEPS,
                        new CallOptions(10_000, 500, 3, 0),
                        new StepOptions(7_500, 40_000, false)),
                List.of(),
                List.of(),
                0,
                0);
    }

    /** Two runs at a slow endpoint and one free place at a fast one. */
    @Test
    void oneFreePlaceDrawsOneSample() {
        mFleet.onRecord(EndpointFixtures.record("slow", 2, 2));
        mFleet.onRecord(EndpointFixtures.record("fast", 2, 2));
        acquireStep(sample("a", 1), sample("b", 1), sample("c", 1), sample("d", 1));
        List<Long> slowRuns = runsAt("slow");
        List<Long> fastRuns = runsAt("fast");
        mOutputs.mRuns.forEach(run -> mMachine.onStreamStart(run.run(), 2, 0));
        for (int i = 1; i <= 16; i++) {
            long now = i * 40 * MILLI;
            for (long run : fastRuns) {
                mMachine.onEvent(run, i, "d", 0, now);
            }
            for (long run : slowRuns) {
                if (i % 5 == 0) {
                    mMachine.onEvent(run, i / 5, "d", 0, now);
                }
            }
        }
        mMachine.onRunEnd(fastRuns.get(0), RunOutcome.COMPLETE, 650 * MILLI);
        mMachine.onTick(660 * MILLI);

        assertThat(mOutputs.mCancelReasons.size(), is(1));
    }

    private List<Long> runsAt(String endpoint) {
        return mOutputs.mRuns.stream()
                .filter(run -> run.endpoint().equals(endpoint))
                .map(FakeStepOutputs.Run::run)
                .toList();
    }

    @Test
    void anotherSampleProbesAnEndpointThatRejectedTheFirst() {
        mFleet.onRecord(EndpointFixtures.record("e", 8, 1));
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 3);
        acquireStep(sample("a", 2), sample("b", 1));
        String first = mOutputs.lastRun().sample();
        mMachine.onRunEnd(1, RunOutcome.WRONG_VERSION, 10 * MILLI);
        mMachine.onTick(200 * MILLI);

        assertThat(mOutputs.mRuns.size(), is(2));
        assertThat(mOutputs.lastRun().sample(), not(first));
    }
}
