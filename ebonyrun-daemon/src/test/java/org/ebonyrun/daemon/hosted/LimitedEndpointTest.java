package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.platform.standin.StandinEndpoint;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An endpoint that names a limit gets no more than that from all entries together. */
class LimitedEndpointTest extends HostedFixture {
    private static final int UNAVAILABLE = 503;
    private static final int CALLS = 60;
    private static final double LIMIT = 0.5;
    private static final long WINDOW_NANOS = Nanos.ofMillis(4_000);
    // Half as much again as the limit allows in a window, and five requests.
    private static final int ALLOWED_IN_WINDOW = (int) (1.5 * LIMIT * 4 + 5);
    // Requests that may be on their way when an entry's first response with the limit arrives.
    private static final int SENT_BEFORE = 4;

    /** What the entry asks of the endpoint whose response names the limit. */
    enum Work {
        CALL("/call/1"),
        REJECTED_CALL("/call/1"),
        SCORE("/call/score"),
        SAMPLE("/step/"),
        STATE("/report"),
        ORDER("/order");

        private final String mPrefix;

        Work(String prefix) {
            mPrefix = prefix;
        }
    }

    private void nameLimit(String prefix) {
        mDeployment.endpoint().nameLimit(prefix, Double.toString(LIMIT));
    }

    private HttpResponse call(String front, String id) {
        return send(front, "POST", mDeployment.callPath(), id, "");
    }

    private void start(Work work) {
        switch (work) {
            case CALL -> call(mFirstFront, "begin");
            case REJECTED_CALL -> {
                mDeployment.endpoint().rejectNext(1);
                call(mFirstFront, "begin");
            }
            case SCORE, SAMPLE -> {
                String step = mDeployment.stepBody(1, List.of("only"), true);
                send(mFirstFront, "POST", mDeployment.stepPath(), "st1", step);
            }
            case STATE, ORDER -> mDeployment.nameVersion(3);
            default -> throw new IllegalStateException("unexpected work: " + work);
        }
        awaitTrue(
                () ->
                        mDeployment.endpoint().arrivals().stream()
                                .anyMatch(arrival -> arrival.target().startsWith(work.mPrefix)));
    }

    /** Returns the most requests that arrived in any window after the limit was named. */
    private static int mostInWindow(StandinEndpoint endpoint) {
        List<StandinEndpoint.Arrival> arrivals =
                endpoint.arrivals().stream()
                        .filter(StandinEndpoint.Arrival::afterLimitWasNamed)
                        .toList();
        int most = 0;
        for (int first = SENT_BEFORE; first < arrivals.size(); first++) {
            int last = first;
            while (last < arrivals.size()
                    && arrivals.get(last).at() - arrivals.get(first).at() < WINDOW_NANOS) {
                last++;
            }
            most = Math.max(most, last - first);
        }
        return most;
    }

    @ParameterizedTest
    @EnumSource
    void anEndpointThatNamesALimitGetsNoMoreThanItFromAllEntriesTogether(Work work) {
        nameLimit(work.mPrefix);
        start(work);
        nameLimit("/");
        for (int i = 0; i < CALLS; i++) {
            HttpResponse response = call(i % 2 == 0 ? mFirstFront : mSecondFront, "c" + i);
            if (response.status() == UNAVAILABLE) {
                String retryAfter = response.headers().first("Retry-After").orElse("0");
                assertThat(Double.parseDouble(retryAfter), greaterThan(0.0));
            }
        }

        assertThat(mostInWindow(mDeployment.endpoint()), lessThanOrEqualTo(ALLOWED_IN_WINDOW));
    }

    @Test
    void aLimitEndsWithTheFirstResponseThatNamesNone() {
        nameLimit("/");
        call(mFirstFront, "begin");
        mDeployment.endpoint().nameLimit("/", "");

        sendUntil(
                response -> response.status() == 200,
                mFirstFront,
                "POST",
                mDeployment.callPath(),
                "look");
        for (int i = 0; i < CALLS; i++) {
            assertThat(call(mFirstFront, "c" + i).status(), is(200));
        }
    }

    @Test
    void aStepIsDeliveredWholeThroughALimitedEndpoint() {
        mDeployment.endpoint().nameLimit("/", "4");
        call(mFirstFront, "begin");
        call(mSecondFront, "begin-2");

        send(mFirstFront, "POST", mDeployment.stepPath(), "st2", mDeployment.stepBody());

        String results = readResults(mFirstFront, "st2");
        assertThat(results.lines().count(), is((long) mDeployment.samplesPerStep()));
    }
}
