package org.ebonyrun.core.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.junit.jupiter.api.Test;

class LoadMeterTest {
    private static final long SECOND = Nanos.PER_SECOND;

    private final Fleet mFleet = Fleet.create();
    private final LoadMeter mMeter = new LoadMeter(0);

    private Endpoint endpoint(String id) {
        mFleet.onRecord(EndpointFixtures.record(id, 4, 1));
        return mFleet.get(id);
    }

    private void observe(int openCalls, long second) {
        mMeter.observe(List.copyOf(mFleet.all()), openCalls, second * SECOND);
    }

    @Test
    void runningSamplesAndTheTimeOfASampleAreMeans() {
        Endpoint endpoint = endpoint("e");
        observe(0, 0);
        for (int second = 1; second <= 10; second++) {
            endpoint.onSent(second * SECOND);
            endpoint.onSent(second * SECOND);
            observe(0, second);
            endpoint.onEnded();
            endpoint.onEnded();
        }
        ServiceLoad load = mMeter.read(10 * SECOND);

        assertThat(load.samples(), is(closeTo(2, 1e-9)));
        assertThat(load.secondsPerSample(), is(closeTo(1, 1e-9)));
        assertThat(load.calls(), is(0.0));
    }

    @Test
    void waitingCallsCountLikeRunningOnesAndScoresThatNobodyCountsAsOpenToo() {
        endpoint("e").onCallSent(0);
        observe(5, 1);
        observe(0, 2);

        ServiceLoad load = mMeter.read(2 * SECOND);
        assertThat(load.calls(), is(closeTo(3, 1e-9)));
        assertThat(load.samples(), is(0.0));
    }

    @Test
    void refusedCallsCountWithTheTimeOfACall() {
        Endpoint endpoint = endpoint("e");
        observe(0, 0);
        for (int second = 1; second <= 10; second++) {
            endpoint.onCallSent(second * SECOND);
            observe(1, second);
            endpoint.onCallEnded();
            mMeter.onRefused();
            mMeter.onRefused();
        }

        assertThat(mMeter.read(10 * SECOND).calls(), is(closeTo(3, 1e-9)));
    }

    @Test
    void requestsFromBeforeTheFirstObservationDoNotCountAsSent() {
        Endpoint endpoint = endpoint("e");
        for (int i = 0; i < 100; i++) {
            endpoint.onSent(0);
            endpoint.onEnded();
        }
        observe(0, 1);
        endpoint.onSent(SECOND);
        observe(0, 2);

        assertThat(mMeter.read(2 * SECOND).secondsPerSample(), is(closeTo(1, 1e-9)));
    }

    @Test
    void withoutRequestsThereIsNoLoad() {
        observe(0, 1);

        assertThat(mMeter.read(SECOND).isZero(), is(true));
    }
}
