package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

/** Guards against reward calls that run after the acknowledged end of their step. */
class EndedStepTest extends HostedFixture {
    private static final String SCORE_TARGET = "/call/score";
    private static final int CALLS_AFTER_END = 300;
    private static final int MAX_METRICS_TRIES = 20_000;

    /** Reads the metrics of the first entry until they contain a gauge with a value. */
    private String awaitGauge(String name, int value) {
        String line = "ebonyrun_entry_" + name + " " + value + ".0";
        String metrics = "";
        for (int i = 0; i < MAX_METRICS_TRIES && !metrics.contains(line); i++) {
            metrics = send(mMetricsAddress, "GET", "/metrics", "", "").text();
        }
        assertThat(metrics, containsString(line));
        return metrics;
    }

    // Review case 9.
    @Test
    void rewardCallsThatWaitForAnEndpointEndWithTheirStep() {
        mDeployment.endpoint().rejectAllTo(SCORE_TARGET);
        send(mFirstFront, "POST", mDeployment.stepPath(), "step", mDeployment.stepBody());
        awaitGauge("owned_steps", 1);
        awaitGauge("open_calls", mDeployment.samplesPerStep());
        assertThat(
                send(mFirstFront, "DELETE", mDeployment.stepEndPath("step"), "", "").status(),
                is(200));
        String metrics = awaitGauge("owned_steps", 0);
        mDeployment.endpoint().rejectAllTo(null);
        for (int i = 0; i < CALLS_AFTER_END; i++) {
            send(mFirstFront, "POST", mDeployment.callPath(), "call", "");
        }

        assertThat(metrics, containsString("ebonyrun_entry_open_calls 0.0"));
        assertThat(mDeployment.endpoint().headersRun("score-1"), nullValue());
        assertThat(mDeployment.endpoint().headersRun("score-2"), nullValue());
    }
}
