package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.platform.standin.StandinEndpoint;
import org.ebonyrun.platform.standin.StandinScene;
import org.ebonyrun.ports.http.HttpCall;
import org.ebonyrun.ports.http.HttpCaller;
import org.ebonyrun.ports.http.HttpReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HostedEntryTest {
    private static final int MOST_TRIES = 2_000;
    private static final long TIMEOUT_MILLIS = 3_000;
    // Above the time that the configuration allows for headers.
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    private StandinScene mScene;
    private HttpCaller mCaller;
    private String mFirst;
    private String mSecond;
    private String mMetrics;
    private HostedEntry mFirstEntry;

    @BeforeEach
    void start() throws IOException {
        mScene = StandinScene.start(freeAddress(), freeAddress());
        mCaller = HttpCaller.start();
        mFirst = text(freeAddress());
        mSecond = text(freeAddress());
        mMetrics = text(freeAddress());
        mFirstEntry = entry("edge-1", mFirst);
        entry("edge-2", mSecond);
        untilReady(mFirst);
        untilReady(mSecond);
    }

    @AfterEach
    void stop() throws IOException {
        mCaller.close();
        mScene.close();
    }

    private HostedEntry entry(String vm, String front) throws IOException {
        String settings =
                HostedSettingsTest.WHOLE
                        .replace("edge-1", vm)
                        .replace("10.1.0.35:8144", front)
                        .replace("10.1.0.35:8140", text(freeAddress()))
                        .replace(
                                "10.1.0.35:9464",
                                vm.equals("edge-1") ? mMetrics : text(freeAddress()))
                        .replace("10.200.1.7:8142", text(mScene.store()));
        HostedSettings parsed = HostedSettings.parse("test", settings).settings();
        return HostedEntry.start(parsed, EventLog.start(OutputStream.nullOutputStream()));
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private HttpReply send(String front, String method, String path, String id, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        URI uri = URI.create("http://" + front + path);
        HttpCall call = HttpCall.to(method, uri, StandinScene.headers(id), bytes, TIMEOUT_MILLIS);
        return mCaller.request(call, "test").join().fold(r -> r, f -> new HttpReply(0, bytes));
    }

    /** Repeats a request until its answer is as wanted; each try takes the time of an exchange. */
    private HttpReply until(
            Predicate<HttpReply> wanted, String front, String method, String path, String id) {
        HttpReply reply = send(front, method, path, id, "");
        for (int i = 0; i < MOST_TRIES && !wanted.test(reply); i++) {
            reply = send(front, method, path, id, "");
        }
        return reply;
    }

    /** Waits until something holds; each look takes the time of an exchange. */
    private void untilTrue(BooleanSupplier wanted) {
        until(reply -> wanted.getAsBoolean(), mFirst, "POST", mScene.callPath(), "look");
        assertThat(wanted.getAsBoolean(), is(true));
    }

    private void untilReady(String front) {
        until(HttpReply::isSuccess, front, "POST", mScene.callPath(), "warm");
    }

    /** Reads all results of a step, page by page as a trainer does, and returns their text. */
    private String results(String front, String step) {
        StringBuilder pages = new StringBuilder();
        int next = 0;
        for (int i = 0; i < MOST_TRIES && next < mScene.samples(); i++) {
            HttpReply page = send(front, "GET", mScene.resultsPath(step, next), "", "");
            if (page.isSuccess()) {
                JsonNode json = JsonTrees.read(page.body());
                json.path("results").forEach(result -> pages.append(result).append('\n'));
                next = json.path("next").asInt();
            }
        }
        return pages.toString();
    }

    @Test
    void aCallIsAnsweredByTheEndpointOfItsRoute() {
        HttpReply reply = send(mFirst, "POST", mScene.callPath(), "c1", mScene.callBody());

        assertThat(reply.status(), is(200));
        assertThat(reply.text(), is(mScene.callBody()));
    }

    @Test
    void aCallThatAnEndpointRefusedIsTriedAgain() {
        mScene.endpoint().refuseNext(1);
        HttpReply reply = send(mFirst, "POST", mScene.callPath(), "c1", mScene.callBody());

        assertThat(reply.status(), is(200));
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
    void whatDoesNotExistOrCanNotBeReadIsSaidSo(String method, String path, int status) {
        assertThat(send(mFirst, method, path, "x", "{}").status(), is(status));
    }

    @Test
    void aStepIsAcceptedOnceAndReadAtEveryEntry() {
        assertThat(
                send(mFirst, "POST", mScene.stepPath(), "st1", mScene.stepBody()).status(),
                is(202));
        assertThat(
                send(mSecond, "POST", mScene.stepPath(), "st1", mScene.stepBody()).status(),
                is(202));
        String text = StandinEndpoint.text("sample-1", mScene.events()).replace("\n", "\\n");
        String own = results(mFirst, "st1");
        String other = results(mSecond, "st1");

        assertThat(own, containsString("\"text\":\"" + text + "\""));
        assertThat(own, containsString("\"score\":\"stamp-score-1\""));
        assertThat(own, containsString("\"versions\":[1]"));
        assertThat(other, is(own));
        assertThat(mScene.endpoint().seen().stream().filter("sample-1@0"::equals).count(), is(1L));
        assertThat(send(mSecond, "GET", mScene.samplePath("st1"), "", "").body().length, is(3));
    }

    @Test
    void aBrokenStreamGoesOnAfterItsLastEvent() {
        mScene.endpoint().breakNextAfter(2);
        send(mFirst, "POST", mScene.stepPath(), "st2", mScene.stepBody());
        String text = StandinEndpoint.text("sample-1", mScene.events()).replace("\n", "\\n");

        assertThat(results(mFirst, "st2"), containsString(text));
        assertThat(mScene.endpoint().seen().stream().anyMatch(run -> run.endsWith("@2")), is(true));
    }

    @Test
    void anEndedStepStaysReadableAndEndsAgain() {
        send(mFirst, "POST", mScene.stepPath(), "st3", mScene.stepBody());
        results(mFirst, "st3");

        assertThat(send(mSecond, "DELETE", mScene.endPath("st3"), "", "").status(), is(200));
        assertThat(send(mFirst, "DELETE", mScene.endPath("st3"), "", "").status(), is(200));
        assertThat(results(mSecond, "st3"), containsString("sample-2"));
    }

    @Test
    void aLaterStepGoesOnWithTheTextsThatAnEndedOneLeft() {
        mScene.endpoint().breakAllAt(2);
        send(mFirst, "POST", mScene.stepPath(), "st8", mScene.stepBody(1));
        untilTrue(() -> mScene.endpoint().seen().containsAll(List.of("sample-1@2", "sample-2@2")));
        send(mSecond, "DELETE", mScene.endPath("st8"), "", "");
        String texts = StepKeys.partial(StepId.of("st8"));
        untilTrue(() -> mScene.platform().store().get(texts) != null);
        mScene.endpoint().breakAllAt(0);
        send(mSecond, "POST", mScene.stepPath(), "st9", mScene.stepBody(2));
        String text = StandinEndpoint.text("sample-2", mScene.events()).replace("\n", "\\n");

        assertThat(results(mFirst, "st9"), containsString("\"text\":\"" + text + "\""));
        List<String> seen = mScene.endpoint().seen();
        assertThat(seen.stream().filter(run -> run.matches("sample.*@0")).count(), is(2L));
    }

    @Test
    void aStepWhoseOwnerStopsIsFinishedByAnotherEntry() throws InterruptedException {
        mScene.endpoint().refuseNext(1_000_000);
        send(mFirst, "POST", mScene.stepPath(), "st4", mScene.stepBody());
        mFirstEntry.drain();
        mScene.endpoint().refuseNext(0);

        assertThat(results(mSecond, "st4"), containsString("sample-2"));
    }

    @Test
    void metricsCountWhatTheEntryDid() {
        send(mFirst, "POST", mScene.callPath(), "c1", mScene.callBody());
        String text = send(mMetrics, "GET", "/metrics", "", "").text();

        assertThat(text, containsString("ebonyrun_entry_calls_total{end=\"answered\"}"));
        assertThat(text, containsString("ebonyrun_entry_call_seconds_bucket{le=\"0.005\"}"));
        assertThat(text, containsString("ebonyrun_entry_config_version 1.0"));
    }

    @Test
    void aNewConfigurationIsInForceAndAnOlderOneIsNot() {
        String without = mScene.config(3).replace("/call/", "/moved/");
        mScene.platform().put("op/config", without);
        until(reply -> reply.status() == 404, mFirst, "POST", mScene.callPath(), "c");
        mScene.platform().put("op/config", mScene.config(2));
        mScene.platform().put("op/config", without.replace("\"version\":3", "\"version\":4"));
        until(HttpReply::isSuccess, mFirst, "POST", "/moved/1", "c");

        assertThat(send(mFirst, "POST", mScene.callPath(), "c", "").status(), is(404));
    }

    @Test
    void whileTheStoreRefusesNoStepIsAcceptedAndCallsAreServed() {
        mScene.platform().refuseWith(call -> 503);

        assertThat(
                send(mFirst, "POST", mScene.stepPath(), "st5", mScene.stepBody()).status(),
                is(503));
        assertThat(send(mFirst, "POST", mScene.callPath(), "c", "x").status(), is(200));
        mScene.platform().refuseWith(call -> 0);
        assertThat(
                until(
                                reply -> reply.status() == 404,
                                mSecond,
                                "GET",
                                mScene.resultsPath("st5", 0),
                                "")
                        .status(),
                is(404));
        assertThat(mScene.endpoint().seen(), not(hasItem("sample-1@0")));
    }

    @Test
    void aStepWhoseAcceptanceWasNotAnsweredIsFoundAndRunByItsOwner() {
        // The first step brings the lease, so that the next call of the store is the acceptance.
        send(mFirst, "POST", mScene.stepPath(), "st6", mScene.stepBody());
        results(mFirst, "st6");
        mScene.platform().loseCommits(1);
        int status = send(mFirst, "POST", mScene.stepPath(), "st7", mScene.stepBody()).status();

        assertThat(status, is(202));
        assertThat(results(mSecond, "st7"), containsString("sample-2"));
    }

    @Test
    void aNamedVersionIsLoaded() {
        mScene.platform().put("op/version/m", "{\"model\":\"m\",\"version\":3}");
        until(reply -> mScene.endpoint().version() == 3, mFirst, "POST", mScene.callPath(), "c");

        assertThat(mScene.endpoint().version(), is(3));
    }

    @ParameterizedTest
    @CsvSource({
        "GARBAGE, HTTP/1.1 400",
        "GET / HTTP/9.9, HTTP/1.1 505",
        "POST /call/1 HTTP/1.1|Host: standin.example|Content-Length: x, HTTP/1.1 400"
    })
    void aMalformedRequestIsRefusedAndNobodyElseIsTouched(String lines, String expected)
            throws IOException {
        String[] parts = mFirst.split(":");
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String request = lines.replace("|", "\r\n") + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(expected.length());

            boolean refusedOrClosed =
                    answer.length == 0
                            || new String(answer, StandardCharsets.US_ASCII).equals(expected);
            assertThat(new String(answer, StandardCharsets.US_ASCII), refusedOrClosed, is(true));
        }
        assertThat(send(mFirst, "POST", mScene.callPath(), "c", "x").status(), is(200));
    }
}
