package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.FakeGate;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.LimitNotice;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.junit.jupiter.api.Test;

/** Samples at endpoints that limit their requests. */
class LimitedSamplesTest {
    private final Fleet mFleet = Fleet.create();
    private final FakeStepOutputs mOutputs = new FakeStepOutputs();
    private final StepMachine mMachine = StepMachine.create(mFleet, Policy.ALL, mOutputs);

    private static SampleSpec sample(String id) {
        return new SampleSpec(id, "/g", Map.of(), new byte[0], 1, id, null);
    }

    private FakeGate limit(String endpoint, int version, int admitted) {
        mFleet.onRecord(EndpointFixtures.record(endpoint, 8, version));
        FakeGate gate = new FakeGate();
        gate.mAdmitted = admitted;
        mFleet.get(endpoint).setGate(gate);
        mFleet.onLimitNotice(mFleet.get(endpoint).record(), LimitNotice.limitedTo(1), 0, 0);
        return gate;
    }

    @Test
    void samplesWaitUntilTheLimitOfAnEndpointAdmitsThem() {
        FakeGate gate = limit("e1", 2, 1);
        limit("e2", 1, 5);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2);
        Route route =
                EndpointFixtures.route(
                        RouteKind.STEPS,
                        new CallOptions(10_000, 500, 3, 0),
                        new StepOptions(7_500, 40_000, false));
        StepSpec step =
                new StepSpec(
                        StepId.of("step"),
                        "x",
                        "/",
                        3,
                        EndpointFixtures.MODEL,
                        2,
                        2,
                        List.of(sample("a"), sample("b")));
        mMachine.onStepAcquired(step, route, List.of(), List.of(), 0, 0);
        assertThat(mOutputs.mRuns.size(), is(1));
        assertThat(gate.mWaiting, is(1));

        gate.mAdmitted = 1;
        mMachine.onTick(Nanos.ofMillis(100));

        assertThat(mOutputs.mRuns.size(), is(2));
        assertThat(mOutputs.lastRun().endpoint(), is("e1"));
    }
}
