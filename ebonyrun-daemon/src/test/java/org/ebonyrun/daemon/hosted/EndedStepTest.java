package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

/** Guards against reward calls that run after the acknowledged end of their step. */
class EndedStepTest extends HostedFixture {
    private static final String SCORE_TARGET = "/call/score";
    // The owner learns of the end from the store.
    private static final int CALLS_UNTIL_OWNER_KNOWS = 100;
    private static final int CALLS_AFTER_END = 300;

    private void makeCalls(int count) {
        for (int i = 0; i < count; i++) {
            send(mFirstFront, "POST", mDeployment.callPath(), "call", "");
        }
    }

    // Review case 9.
    @Test
    void rewardCallsThatWaitForAnEndpointEndWithTheirStep() {
        mDeployment.endpoint().rejectAllTo(SCORE_TARGET);
        send(mFirstFront, "POST", mDeployment.stepPath(), "step", mDeployment.stepBody());
        awaitTrue(
                () ->
                        mDeployment.endpoint().arrivals().stream()
                                .anyMatch(arrival -> arrival.target().equals(SCORE_TARGET)));
        assertThat(
                send(mFirstFront, "DELETE", mDeployment.stepEndPath("step"), "", "").status(),
                is(200));
        makeCalls(CALLS_UNTIL_OWNER_KNOWS);
        mDeployment.endpoint().rejectAllTo(null);
        makeCalls(CALLS_AFTER_END);

        assertThat(mDeployment.endpoint().headersRun("score-1"), nullValue());
        assertThat(mDeployment.endpoint().headersRun("score-2"), nullValue());
    }
}
