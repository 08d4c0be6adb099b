package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonyrun.platform.standin.FaultInjector;
import org.ebonyrun.platform.standin.FaultInjector.Framing;
import org.ebonyrun.platform.standin.FaultInjector.Hold;
import org.ebonyrun.platform.standin.FaultInjector.Plan;
import org.ebonyrun.platform.standin.FaultInjector.Repeat;
import org.ebonyrun.platform.standin.FaultInjector.Reply;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks what callers and trainers receive if an endpoint sends duplicate or delayed responses. A
 * duplicate may reach the entry when the connection already carries a later request, and must not
 * be mistaken for the response to that request.
 */
class DuplicateResponseTest extends DuplicateResponseFixture {
    // Enough polls for the planner, which retries an order after a fraction of a second.
    private static final int PLANNER_POLLS = 15_000;
    // Passes before an entry retries a rejected call.
    private static final long SHORT_DEADLINE_MILLIS = 30;
    private static final int SHORT_CALLS = 5;
    private static final Plan RUN = Plan.of(Reply.RUN);
    private static final Plan DUPLICATED = RUN.withRepeat(Repeat.LATE);
    // Delays the response behind a duplicate until an entry that mistakes the duplicate for this
    // response has acted on it.
    private static final Plan DELAYED =
            RUN.withHold(Hold.BEHIND_ANOTHER, FaultInjector.UNTIL_RELEASED);

    @Test
    void nonIdempotentCallRunsOnceDespiteDuplicateRejection() {
        Plan rejection = Plan.of(Reply.NOT_RUN).withRepeat(Repeat.LATE);
        mEndpoint.setFaultInjector(
                FaultInjector.scripted(Map.of("u1", List.of(rejection, DELAYED))));
        HttpResponse response =
                awaitResponse(
                        sendAsync(mFirstFront, mDeployment.nonIdempotentCallPath(), "u1", "pay"),
                        "u1");

        assertThat("runs of the call", mEndpoint.runs("u1").size(), is(1));
        checkEchoed(response, "pay");
    }

    @ParameterizedTest
    @ValueSource(longs = {60, 70, 80, 90, 100, 110, 120, 130})
    void runningCallIsNotRefusedAtItsDeadlineDespiteDuplicateRejection(long deadlineMillis) {
        Plan rejection = Plan.of(Reply.NOT_RUN).withRepeat(Repeat.LATE);
        mEndpoint.setFaultInjector(
                request -> request.timesReceivedBefore() == 0 ? rejection : DELAYED);
        for (int i = 0; i < SHORT_CALLS; i++) {
            String id = "u2-" + i;
            HttpResponse response =
                    awaitResponse(
                            sendAsync(
                                    mFirstFront,
                                    mDeployment.nonIdempotentCallPath(),
                                    id,
                                    "pay",
                                    deadlineMillis),
                            id);
            int runs = mEndpoint.runs(id).size();
            // Releases delayed responses, so that each call gets only its own rejection.
            mEndpoint.release();

            assertThat("runs of " + id, runs, is(lessThanOrEqualTo(1)));
            assertThat("runs of " + id + " at 503", response.status() == 503 ? runs : 0, is(0));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "RUN, LATE, CHUNKED",
        "RUN, LATE, LENGTH",
        "RUN, LATE_IN_PIECES, LENGTH",
        "RUN, LATE_IN_PIECES, CHUNKED",
        "RUN, AT_ONCE, LENGTH",
        "FAILED, LATE, LENGTH",
        "IMPOSSIBLE, LATE_IN_PIECES, CHUNKED"
    })
    void nonIdempotentCallGetsItsOwnResponseAfterDuplicateOfAnotherCall(
            Reply reply, Repeat repeat, Framing framing) {
        Plan other = Plan.of(reply).withRepeat(repeat).withFraming(framing, framing);
        mEndpoint.setFaultInjector(FaultInjector.scripted(Map.of("x1", List.of(other))));
        sendAsync(mFirstFront, mDeployment.nonIdempotentCallPath(), "x1", "other").join();
        HttpResponse own =
                sendAsync(mFirstFront, mDeployment.nonIdempotentCallPath(), "u3", "pay").join();

        checkEchoed(own, "pay");
        assertThat("runs of the call", mEndpoint.runs("u3").size(), is(1));
    }

    @Test
    void consecutiveCallsGetTheirOwnResponsesIfEachResponseIsDuplicated() {
        mEndpoint.setFaultInjector(FaultInjector.repeating(Repeat.LATE));
        List<Integer> runs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String id = "turn-" + i;
            checkEchoed(
                    send(mFirstFront, "POST", mDeployment.callPath(), id, "body of " + id),
                    "body of " + id);
            runs.add(mEndpoint.runs(id).size());
        }

        assertThat("runs of the calls", runs, is(List.of(1, 1, 1, 1, 1, 1)));
    }

    @Test
    void sampleIsNotAbandonedBecauseOfDuplicateFailures() {
        Plan failure = Plan.of(Reply.FAILED).withRepeat(Repeat.LATE);
        Plan delayed = failure.withHold(Hold.BEHIND_ANOTHER, FaultInjector.UNTIL_RELEASED);
        mEndpoint.setFaultInjector(
                FaultInjector.scripted(Map.of("p1", List.of(failure, delayed, RUN))));
        submit(mFirstFront, "st1", mDeployment.stepBody(1, List.of("p1"), false));
        pollUntil(RETRY_POLLS, () -> mEndpoint.received("p1").size() > 2);
        mEndpoint.release();
        JsonNode result = readResults(mFirstFront, "st1", 1).get(0);
        long failures = mEndpoint.runs("p1").stream().filter(r -> r.status() == 500).count();

        assertThat(
                "state after " + failures + " failures", result.path("state").asText(), is("done"));
        checkText(result, mDeployment.eventsPerSample(), mEndpoint.received());
    }

    @Test
    void sampleOfLaterStepIsCompleteAfterDuplicateOfResponseWithoutEvents() {
        Plan unframed =
                RUN.withFraming(Framing.CLOSE, Framing.CLOSE)
                        .withHold(Hold.ALWAYS, FaultInjector.UNTIL_RELEASED);
        mEndpoint.setFaultInjector(
                FaultInjector.scripted(Map.of("p1", List.of(unframed, DUPLICATED, RUN))));
        submit(mFirstFront, "st2", mDeployment.stepBody(2, List.of("p1", "p2"), false));
        readResults(mFirstFront, "st2", 1);
        pollUntil(RETRY_POLLS, () -> !mEndpoint.runs("p1").isEmpty());
        mEndpoint.release();
        readResults(mFirstFront, "st2", 2);
        // A lower step number, so that no text of the first step is carried over.
        submit(mFirstFront, "st3", mDeployment.stepBody(1, List.of("p1"), false));

        checkText(
                readResults(mFirstFront, "st3", 1).get(0),
                mDeployment.eventsPerSample(),
                mEndpoint.received());
    }

    @Test
    void brokenStreamIsContinuedOnceDespiteDuplicateOfAnotherCall() {
        Plan broken = Plan.brokenAfter(2).withHold(Hold.ALWAYS, FaultInjector.UNTIL_RELEASED);
        mEndpoint.setFaultInjector(
                FaultInjector.scripted(
                        Map.of("p1", List.of(broken, RUN), "x1", List.of(DUPLICATED))));
        submit(mFirstFront, "st4", mDeployment.stepBody(1, List.of("p1"), false));
        pollUntil(RETRY_POLLS, () -> !mEndpoint.runs("p1").isEmpty());
        // The first run occupies a connection, so this call leaves its duplicate on another one.
        checkEchoed(send(mFirstFront, "POST", mDeployment.callPath(), "x1", "other"), "other");
        mEndpoint.release();
        JsonNode result = readResults(mFirstFront, "st4", 1).get(0);

        checkText(result, mDeployment.eventsPerSample(), mEndpoint.received());
        List<Integer> requested =
                mEndpoint.received("p1").stream().map(r -> r.request().lastEvent()).toList();
        assertThat("events after which runs were requested", requested, is(List.of(0, 2)));
    }

    @ParameterizedTest
    @CsvSource({"LATE", "LATE_IN_PIECES", "AT_ONCE"})
    void samplesAreCompleteAndRunOnceIfStreamsAreDuplicated(Repeat repeat) {
        mEndpoint.setFaultInjector(FaultInjector.repeating(repeat));
        for (int i = 1; i <= 4; i++) {
            String step = "st5-" + i;
            List<String> samples = List.of("p" + i + "a", "p" + i + "b", "p" + i + "c");
            submit(mFirstFront, step, mDeployment.stepBody(i, samples, false));
            for (JsonNode result : readResults(mFirstFront, step, samples.size())) {
                checkText(result, mDeployment.eventsPerSample(), mEndpoint.received());
            }
            for (String sample : samples) {
                assertThat("runs of " + sample, mEndpoint.runs(sample).size(), is(1));
            }
        }
    }

    @Test
    void versionIsOrderedAgainIfDuplicateReportHidesRejectedOrder() {
        mEndpoint.setFaultInjector(
                FaultInjector.scripted(
                        Map.of(
                                mDeployment.reportPath(), List.of(DUPLICATED, RUN),
                                mDeployment.orderPath(), List.of(Plan.of(Reply.CONFLICT), RUN))));
        mDeployment.nameVersion(3);
        pollUntil(PLANNER_POLLS, () -> mEndpoint.version() == 3);

        assertThat(
                "orders " + mEndpoint.received(mDeployment.orderPath()),
                mEndpoint.version(),
                is(3));
    }

    @Test
    void versionIsOrderedAgainIfDuplicateOrderResponseShiftsLaterResponses() {
        mEndpoint.setFaultInjector(
                FaultInjector.scripted(
                        Map.of(
                                mDeployment.reportPath(), List.of(DELAYED),
                                mDeployment.orderPath(),
                                        List.of(DUPLICATED, Plan.of(Reply.CONFLICT), RUN))));
        mDeployment.nameVersion(3);
        pollUntil(PLANNER_POLLS, () -> mEndpoint.received(mDeployment.reportPath()).size() > 1);
        assertThat(mEndpoint.version(), is(3));
        mDeployment.nameVersion(5);
        pollUntil(PLANNER_POLLS, () -> mEndpoint.version() == 5);

        assertThat(
                "orders " + mEndpoint.received(mDeployment.orderPath()),
                mEndpoint.version(),
                is(5));
    }

    @Test
    void nonIdempotentCallRunsOnceDespitePrecedingRejectionWithoutRequestId() {
        Plan rejection = Plan.of(Reply.NOT_RUN).withRepeat(Repeat.LATE).withoutRequestIdInRepeat();
        mEndpoint.setFaultInjector(request -> request.key().startsWith("x-") ? rejection : DELAYED);
        boolean rejectedOnce = false;
        for (int i = 0; i < MAX_TRIES && !rejectedOnce; i++) {
            String id = "x-" + i;
            sendAsync(mFirstFront, mDeployment.callPath(), id, "other", SHORT_DEADLINE_MILLIS)
                    .join();
            rejectedOnce = mEndpoint.received(id).size() == 1;
        }
        HttpResponse response =
                awaitResponse(
                        sendAsync(mFirstFront, mDeployment.nonIdempotentCallPath(), "u4", "pay"),
                        "u4");

        checkRunOnceOrLost("u4", response);
    }

    @Test
    void nonIdempotentCallDoesNotFailDespitePrecedingFailureWithoutRequestId() {
        Plan failure = Plan.of(Reply.FAILED).withRepeat(Repeat.LATE).withoutRequestIdInRepeat();
        mEndpoint.setFaultInjector(FaultInjector.scripted(Map.of("x1", List.of(failure))));
        sendAsync(mFirstFront, mDeployment.nonIdempotentCallPath(), "x1", "other").join();
        HttpResponse response =
                sendAsync(mFirstFront, mDeployment.nonIdempotentCallPath(), "u5", "pay").join();

        checkRunOnceOrLost("u5", response);
    }

    /**
     * Checks that a call ran once and got its own response, or was lost: the endpoint may see the
     * end of the connection before it has read the request.
     */
    private void checkRunOnceOrLost(String id, HttpResponse response) {
        int runs = mEndpoint.runs(id).size();
        assertThat("runs of the call", runs, is(lessThanOrEqualTo(1)));
        assertThat("status of the call", response.status(), anyOf(is(200), is(502)));
        assertThat("runs of an answered call", response.status() == 200 ? runs : 1, is(1));
    }
}
