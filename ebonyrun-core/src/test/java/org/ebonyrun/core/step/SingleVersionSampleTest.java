package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.stream.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * On a route that requires a single weight version, a sample goes on only at the version that began
 * its text. Guards against samples that are never sent again once no endpoint has that version.
 */
class SingleVersionSampleTest {
    private static final StepId STEP = StepId.of("step");
    private static final long MILLI = Nanos.PER_MILLI;
    private static final Route ROUTE =
            EndpointFixtures.route(
                    RouteKind.STEPS,
                    new CallOptions(10_000, 500, 3, 0),
                    new StepOptions(7_500, 600_000, true));

    private final Fleet mFleet = Fleet.create();
    private final FakeStepOutputs mOutputs = new FakeStepOutputs();
    private final StepMachine mMachine = StepMachine.create(mFleet, Policy.ALL, mOutputs);

    private void acquireStep(SampleCheckpoint text) {
        SampleSpec sample = new SampleSpec("a", "/g", Map.of(), new byte[0], 1, "g", null);
        StepSpec step =
                new StepSpec(STEP, "x", "/", 3, EndpointFixtures.MODEL, 1, 1, List.of(sample));
        mMachine.onStepAcquired(step, ROUTE, List.of(), List.of(text), 0, 0);
    }

    private void addEndpoint(String id, int slots, int version) {
        mFleet.onRecord(EndpointFixtures.record(id, slots, version));
    }

    private static SampleCheckpoint text(int version) {
        StreamOrigin origin = StreamOrigin.of(EndpointFixtures.record("any", 1, version));
        List<Integer> versions = Collections.nCopies(2, version);
        return new SampleCheckpoint("a", List.of("d1", "d2"), versions, origin, false);
    }

    @ParameterizedTest
    @CsvSource({
        // The version of the text, those of two endpoints, and the event after which it goes on.
        "2, 2, 3, 2",
        "3, 2, 3, 2",
        "2, 3, 3, 0",
        "2, 1, 4, 0"
    })
    void aRestoredTextGoesOnAtItsVersionAndBeginsAgainIfThatIsGone(
            int textVersion, int version1, int version2, int lastEvent) {
        addEndpoint("e1", 8, version1);
        addEndpoint("e2", 8, version2);
        acquireStep(text(textVersion));

        assertThat(mOutputs.mRuns, hasSize(1));
        assertThat(mOutputs.lastRun().lastEvent(), is(lastEvent));
    }

    @Test
    void beginsAgainWhenTheLastEndpointOfItsVersionIsLost() {
        addEndpoint("e1", 8, 2);
        acquireStep(text(2));
        mMachine.onStreamStart(1, 2, 0);
        mMachine.onEvent(1, 3, "d3", 0, 0);
        addEndpoint("e2", 8, 3);
        mFleet.onRemoved("e1", 0);
        mMachine.onRunEnd(1, RunOutcome.BROKEN, 0);
        mMachine.onTick(50 * MILLI);

        assertThat(mOutputs.lastRun().endpoint(), is("e2"));
        assertThat(mOutputs.lastRun().lastEvent(), is(0));
    }

    @Test
    void beginsAgainWhenTheOnlyEndpointLoadsAnotherVersion() {
        addEndpoint("e1", 8, 2);
        acquireStep(text(2));
        addEndpoint("e1", 8, 3);
        mMachine.onRunEnd(1, RunOutcome.UNFRAMED, 0);

        assertThat(mOutputs.mDiscarded, is(List.of(text(2))));
        assertThat(mOutputs.mRuns, hasSize(2));
        assertThat(mOutputs.lastRun().lastEvent(), is(0));
    }

    @ParameterizedTest
    @CsvSource({"900, 0", "1100, 1"})
    void waitsOnlyForAWhileForAFullEndpointOfItsVersion(long waitMillis, int runs) {
        addEndpoint("e1", 1, 2);
        addEndpoint("e2", 8, 3);
        mFleet.get("e1").onSent(0);
        acquireStep(text(2));
        mMachine.onTick(waitMillis * MILLI);

        assertThat(mOutputs.mRuns, hasSize(runs));
    }
}
