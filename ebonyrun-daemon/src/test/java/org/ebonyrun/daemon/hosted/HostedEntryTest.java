package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.platform.standin.StandinEndpoint;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HostedEntryTest extends HostedFixture {
    @Test
    void callIsServedByAnEndpointOfItsRoute() {
        HttpResponse response =
                send(mFirstFront, "POST", mScene.callPath(), "c1", mScene.callBody());

        assertThat(response.status(), is(200));
        assertThat(response.text(), is(mScene.callBody()));
    }

    @Test
    void callIsRetriedAfterARejection() {
        mScene.endpoint().rejectNext(1);
        HttpResponse response =
                send(mFirstFront, "POST", mScene.callPath(), "c1", mScene.callBody());

        assertThat(response.status(), is(200));
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /none/1, 404",
        "GET, /lots/unknown?after=0, 404",
        "DELETE, /lots/unknown, 404",
        "GET, /items/unknown?id=x, 404",
        "GET, /lots/%2e%2e/, 404",
        "POST, /step/1, 400"
    })
    void unknownOrMalformedRequestsGetClientErrors(String method, String path, int status) {
        assertThat(send(mFirstFront, method, path, "x", "{}").status(), is(status));
    }

    @Test
    void stepIsAcceptedOnceAndReadableAtEveryEntry() {
        assertThat(
                send(mFirstFront, "POST", mScene.stepPath(), "st1", mScene.stepBody()).status(),
                is(202));
        assertThat(
                send(mSecondFront, "POST", mScene.stepPath(), "st1", mScene.stepBody()).status(),
                is(202));
        String text =
                StandinEndpoint.completeText("sample-1", mScene.eventsPerSample())
                        .replace("\n", "\\n");
        String own = readResults(mFirstFront, "st1");
        String other = readResults(mSecondFront, "st1");

        assertThat(own, containsString("\"text\":\"" + text + "\""));
        assertThat(own, containsString("\"score\":\"stamp-score-1\""));
        assertThat(own, containsString("\"versions\":[1]"));
        assertThat(other, is(own));
        assertThat(
                mScene.endpoint().requestsRun().stream().filter("sample-1@0"::equals).count(),
                is(1L));
        assertThat(
                send(mSecondFront, "GET", mScene.samplePath("st1"), "", "").body().length, is(3));
    }

    @Test
    void brokenStreamIsResumedAfterItsLastEvent() {
        mScene.endpoint().breakNextAfter(2);
        send(mFirstFront, "POST", mScene.stepPath(), "st2", mScene.stepBody());
        String text =
                StandinEndpoint.completeText("sample-1", mScene.eventsPerSample())
                        .replace("\n", "\\n");

        assertThat(readResults(mFirstFront, "st2"), containsString(text));
        assertThat(
                mScene.endpoint().requestsRun().stream().anyMatch(run -> run.endsWith("@2")),
                is(true));
    }

    @Test
    void endedStepStaysReadableAndCanBeEndedAgain() {
        send(mFirstFront, "POST", mScene.stepPath(), "st3", mScene.stepBody());
        readResults(mFirstFront, "st3");

        assertThat(
                send(mSecondFront, "DELETE", mScene.stepEndPath("st3"), "", "").status(), is(200));
        assertThat(
                send(mFirstFront, "DELETE", mScene.stepEndPath("st3"), "", "").status(), is(200));
        assertThat(readResults(mSecondFront, "st3"), containsString("sample-2"));
    }

    @Test
    void laterStepResumesTheTextsOfAnEndedStep() {
        mScene.endpoint().breakAllAfterEvent(2);
        send(mFirstFront, "POST", mScene.stepPath(), "st8", mScene.stepBody(1));
        awaitTrue(
                () ->
                        mScene.endpoint()
                                .requestsRun()
                                .containsAll(List.of("sample-1@2", "sample-2@2")));
        send(mSecondFront, "DELETE", mScene.stepEndPath("st8"), "", "");
        String texts = StoreKeys.checkpointKey(StepId.of("st8"));
        awaitTrue(() -> mScene.platform().store().get(texts) != null);
        mScene.endpoint().breakAllAfterEvent(0);
        send(mSecondFront, "POST", mScene.stepPath(), "st9", mScene.stepBody(2));
        String text =
                StandinEndpoint.completeText("sample-2", mScene.eventsPerSample())
                        .replace("\n", "\\n");

        assertThat(readResults(mFirstFront, "st9"), containsString("\"text\":\"" + text + "\""));
        List<String> seen = mScene.endpoint().requestsRun();
        assertThat(seen.stream().filter(run -> run.matches("sample.*@0")).count(), is(2L));
    }

    @Test
    void laterStepStartsOverWithoutCarriedTexts() throws IOException {
        restartWithout(Mechanism.CARRIED_TEXTS);
        mScene.endpoint().breakAllAfterEvent(2);
        send(mFirstFront, "POST", mScene.stepPath(), "st12", mScene.stepBody(1));
        awaitTrue(
                () ->
                        mScene.endpoint()
                                .requestsRun()
                                .containsAll(List.of("sample-1@2", "sample-2@2")));
        send(mSecondFront, "DELETE", mScene.stepEndPath("st12"), "", "");
        mScene.endpoint().breakAllAfterEvent(0);
        send(mSecondFront, "POST", mScene.stepPath(), "st13", mScene.stepBody(2));

        assertThat(readResults(mFirstFront, "st13"), containsString("sample-2"));
        List<String> seen = mScene.endpoint().requestsRun();
        assertThat(seen.stream().filter(run -> run.matches("sample.*@0")).count(), is(4L));
        String texts = StoreKeys.checkpointKey(StepId.of("st12"));
        assertThat(mScene.platform().store().get(texts), is(nullValue()));
    }

    @Test
    void unreadableTextsOfAnEndedStepAreIgnored() {
        mScene.endpoint().breakAllAfterEvent(2);
        send(mFirstFront, "POST", mScene.stepPath(), "st10", mScene.stepBody(1));
        awaitTrue(() -> mScene.endpoint().requestsRun().contains("sample-1@2"));
        send(mSecondFront, "DELETE", mScene.stepEndPath("st10"), "", "");
        String texts = StoreKeys.checkpointKey(StepId.of("st10"));
        awaitTrue(() -> mScene.platform().store().get(texts) != null);
        String invalid = "{\"texts\":[{\"id\":\"sample-1\",\"events\":[\"x\"],\"versions\":[]}]}";
        mScene.platform().put(texts, invalid);
        mScene.endpoint().breakAllAfterEvent(0);
        send(mSecondFront, "POST", mScene.stepPath(), "st11", mScene.stepBody(2));
        String text =
                StandinEndpoint.completeText("sample-1", mScene.eventsPerSample())
                        .replace("\n", "\\n");

        assertThat(readResults(mFirstFront, "st11"), containsString("\"text\":\"" + text + "\""));
    }

    @Test
    void stepIsFinishedByAnotherEntryAfterItsOwnerDrains() throws InterruptedException {
        mScene.endpoint().rejectNext(1_000_000);
        send(mFirstFront, "POST", mScene.stepPath(), "st4", mScene.stepBody());
        mFirstEntry.drain();
        mScene.endpoint().rejectNext(0);

        assertThat(readResults(mSecondFront, "st4"), containsString("sample-2"));
    }

    @Test
    void stepIsNotAbandonedWhileTheConfigurationIsMissing() throws IOException {
        mScene.endpoint().rejectNext(Integer.MAX_VALUE);
        send(mFirstFront, "POST", mScene.stepPath(), "step-8", mScene.stepBody());
        mFirstEntry.close();
        mSecondEntry.close();
        mScene.withdrawConfiguration();
        mFirstFront = text(freeAddress());
        mFirstEntry = startEntry("edge-1", mFirstFront);
        // Returns as soon as the entry has taken the step over from its VM's previous process.
        sendUntil(
                response -> response.text().contains("taken"),
                mMetricsAddress,
                "GET",
                "/metrics",
                "");
        mScene.configure(1);
        mScene.endpoint().rejectNext(0);

        String results = readResults(mFirstFront, "step-8");
        assertThat(results, containsString("\"state\":\"done\""));
        assertThat(results, not(containsString("\"state\":\"dead\"")));
    }

    @Test
    void metricsShowCallsAndTheConfigurationVersion() {
        send(mFirstFront, "POST", mScene.callPath(), "c1", mScene.callBody());
        String text = send(mMetricsAddress, "GET", "/metrics", "", "").text();

        assertThat(text, containsString("ebonyrun_entry_calls_total{end=\"answered\"}"));
        assertThat(text, containsString("ebonyrun_entry_call_seconds_bucket{le=\"0.005\"}"));
        assertThat(text, containsString("ebonyrun_entry_config_version 1.0"));
    }

    @Test
    void newerConfigurationIsAppliedAndOlderOneIsIgnored() {
        String movedRoute = mScene.config(3).replace("/call/", "/moved/");
        mScene.platform().put("op/config", movedRoute);
        sendUntil(
                response -> response.status() == 404, mFirstFront, "POST", mScene.callPath(), "c");
        mScene.platform().put("op/config", mScene.config(2));
        mScene.platform().put("op/config", movedRoute.replace("\"version\":3", "\"version\":4"));
        sendUntil(HttpResponse::isSuccess, mFirstFront, "POST", "/moved/1", "c");

        assertThat(send(mFirstFront, "POST", mScene.callPath(), "c", "").status(), is(404));
    }

    @Test
    void stepsAreRefusedAndCallsServedDuringAStoreOutage() {
        mScene.platform().setFailureStatus(call -> 503);

        assertThat(
                send(mFirstFront, "POST", mScene.stepPath(), "st5", mScene.stepBody()).status(),
                is(503));
        assertThat(send(mFirstFront, "POST", mScene.callPath(), "c", "x").status(), is(200));
        mScene.platform().setFailureStatus(call -> 0);
        assertThat(
                sendUntil(
                                response -> response.status() == 404,
                                mSecondFront,
                                "GET",
                                mScene.resultsPath("st5", 0),
                                "")
                        .status(),
                is(404));
        assertThat(mScene.endpoint().requestsRun(), not(hasItem("sample-1@0")));
    }

    @Test
    void stepRunsThoughTheResponseToItsAcceptanceWasLost() {
        // The first step acquires the lease, so the next call to the store accepts the second step.
        send(mFirstFront, "POST", mScene.stepPath(), "st6", mScene.stepBody());
        readResults(mFirstFront, "st6");
        mScene.platform().dropCommitResponses(1);
        int status =
                send(mFirstFront, "POST", mScene.stepPath(), "st7", mScene.stepBody()).status();

        assertThat(status, is(202));
        assertThat(readResults(mSecondFront, "st7"), containsString("sample-2"));
    }

    @Test
    void namedVersionIsLoaded() {
        mScene.platform().put("op/version/m", "{\"model\":\"m\",\"version\":3}");
        sendUntil(
                response -> mScene.endpoint().version() == 3,
                mFirstFront,
                "POST",
                mScene.callPath(),
                "c");

        assertThat(mScene.endpoint().version(), is(3));
    }

    @ParameterizedTest
    @CsvSource({
        "GARBAGE, HTTP/1.1 400",
        "GET / HTTP/9.9, HTTP/1.1 505",
        "POST /call/1 HTTP/1.1|Host: standin.example|Content-Length: x, HTTP/1.1 400"
    })
    void malformedRequestIsRefusedAndOthersAreServed(String lines, String expected)
            throws IOException {
        String[] parts = mFirstFront.split(":");
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String request = lines.replace("|", "\r\n") + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = socket.getInputStream().readNBytes(expected.length());

            boolean refusedOrClosed =
                    response.length == 0
                            || new String(response, StandardCharsets.US_ASCII).equals(expected);
            assertThat(new String(response, StandardCharsets.US_ASCII), refusedOrClosed, is(true));
        }
        assertThat(send(mFirstFront, "POST", mScene.callPath(), "c", "x").status(), is(200));
    }
}
