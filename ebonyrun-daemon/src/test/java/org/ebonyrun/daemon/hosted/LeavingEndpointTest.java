package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.platform.standin.StandinEndpoint;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An endpoint that announces in its responses that it is leaving gets no new work, whatever its
 * record says.
 */
class LeavingEndpointTest extends HostedFixture {
    private static final int UNAVAILABLE = 503;
    private static final int LATER_CALLS = 20;

    /** What the entry asks of the endpoint whose response announces that it leaves. */
    enum Work {
        CALL("/call/1"),
        SCORE("/call/score"),
        SAMPLE("/step/"),
        STATE("/report"),
        ORDER("/order");

        private final String mPrefix;

        Work(String prefix) {
            mPrefix = prefix;
        }
    }

    private HttpResponse call(String id) {
        return send(mFirstFront, "POST", mDeployment.callPath(), id, "");
    }

    private void start(Work work) {
        switch (work) {
            case CALL -> call("begin");
            case SCORE, SAMPLE -> {
                // With a second sample, its request may be on its way when the first is answered.
                String step = mDeployment.stepBody(1, List.of("only"), true);
                send(mFirstFront, "POST", mDeployment.stepPath(), "st1", step);
            }
            case STATE, ORDER -> mDeployment.nameVersion(3);
            default -> throw new IllegalStateException("unexpected work: " + work);
        }
    }

    /** Sends calls until the entry refuses one, and checks that it sends none after that. */
    private void expectNoFurtherCall(StandinEndpoint endpoint, String front) {
        HttpResponse refused =
                sendUntil(
                        response -> response.status() == UNAVAILABLE,
                        front,
                        "POST",
                        mDeployment.callPath(),
                        "look");
        assertThat(refused.status(), is(UNAVAILABLE));
        int runs = endpoint.requestsRun().size();
        for (int i = 0; i < LATER_CALLS; i++) {
            HttpResponse response = send(front, "POST", mDeployment.callPath(), "l" + i, "");
            assertThat(response.status(), is(UNAVAILABLE));
            assertThat(
                    Double.parseDouble(response.headers().first("Retry-After").orElse("0")),
                    greaterThan(0.0));
        }
        assertThat(endpoint.requestsRun().size(), is(runs));
    }

    @ParameterizedTest
    @EnumSource
    void anyResponseThatAnnouncesItEndsNewWorkAtTheEndpoint(Work work) {
        mDeployment.endpoint().announceLeaving(work.mPrefix);
        start(work);
        mDeployment
                .endpoint()
                .leavingAnnounced()
                .orTimeout(SOCKET_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        String front = work == Work.STATE || work == Work.ORDER ? plannerFront() : mFirstFront;

        expectNoFurtherCall(mDeployment.endpoint(), front);
    }

    /** Returns the front of the entry that has ordered a weight version. */
    private String plannerFront() {
        awaitTrue(() -> mDeployment.platform().store().get(StoreKeys.PLANNER) != null);
        byte[] value =
                Base64.getDecoder()
                        .decode(mDeployment.platform().store().get(StoreKeys.PLANNER).value());
        String holder = new String(value, StandardCharsets.UTF_8);
        return holder.startsWith("edge-1") ? mFirstFront : mSecondFront;
    }

    @Test
    void aRejectionAnnouncesItToo() {
        mDeployment.endpoint().announceLeaving("/call/");
        mDeployment.endpoint().rejectNext(1);

        expectNoFurtherCall(mDeployment.endpoint(), mFirstFront);
    }

    @Test
    void itHoldsWhileTheStoreIsUnavailable() {
        mDeployment.platform().setFailureStatus(request -> UNAVAILABLE);
        mDeployment.endpoint().announceLeaving("/call/");
        call("begin");

        expectNoFurtherCall(mDeployment.endpoint(), mFirstFront);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRecordThatStillSaysReadyDoesNotBringItBack(boolean removedBetween) throws IOException {
        mDeployment.endpoint().announceLeaving("/call/");
        call("begin");
        expectNoFurtherCall(mDeployment.endpoint(), mFirstFront);
        if (removedBetween) {
            mDeployment.unregister("i-1");
        }
        mDeployment.register("i-1", mDeployment.endpointAddress(), "ready", 1);
        int runs = mDeployment.endpoint().requestsRun().size();

        StandinEndpoint successor = mDeployment.startEndpoint("i-2", freeAddress());
        awaitServedStep("st3");
        for (int i = 0; i < LATER_CALLS; i++) {
            HttpResponse response = call("n" + i);
            assertThat(response.text(), response.status(), is(200));
        }
        assertThat(mDeployment.endpoint().requestsRun().size(), is(runs));
        assertThat(successor.requestsRun().size(), greaterThan(LATER_CALLS - 1));
    }

    @Test
    void theEndpointsOfAServiceThatAllLeaveGetNoSampleUntilAnotherOneComes() throws IOException {
        mDeployment.endpoint().announceLeaving("/call/");
        call("begin");
        expectNoFurtherCall(mDeployment.endpoint(), mFirstFront);
        send(mFirstFront, "POST", mDeployment.stepPath(), "st2", mDeployment.stepBody());
        for (int i = 0; i < LATER_CALLS; i++) {
            call("l" + i);
        }
        boolean started =
                mDeployment.endpoint().requestsRun().stream()
                        .anyMatch(run -> run.startsWith("sample"));
        assertThat(started, is(false));

        mDeployment.startEndpoint("i-2", freeAddress());
        awaitServedStep("st2");
    }

    /** Submits a step, whose samples wait for an endpoint, and waits until all are listed. */
    private void awaitServedStep(String step) {
        send(mFirstFront, "POST", mDeployment.stepPath(), step, mDeployment.stepBody());
        String results = readResults(mFirstFront, step);
        assertThat(results.lines().count(), is((long) mDeployment.samplesPerStep()));
    }
}
