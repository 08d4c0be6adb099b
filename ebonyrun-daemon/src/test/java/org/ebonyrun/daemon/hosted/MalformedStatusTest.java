package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.ports.http.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One of two endpoints answers with a status that HTTP does not have. Guards against calls for
 * which that counts as the answer, so that the other endpoint is not tried.
 */
class MalformedStatusTest extends HostedFixture {
    private static final int CALLS = 24;
    // No call reaches its deadline on a busy machine, so that each status has one cause.
    private static final long CALL_TIMEOUT_MILLIS = 60_000;
    private static final byte[] BODY = "ok".getBytes(StandardCharsets.US_ASCII);

    private final Map<String, Integer> mAnswered = new ConcurrentHashMap<>();
    private RawEndpoint mBroken;

    @AfterEach
    void stopBroken() throws IOException {
        mBroken.close();
    }

    private void startBroken(String status) throws IOException {
        mBroken = RawEndpoint.start(id -> head(status, id), BODY, BODY.length);
        mDeployment.register("i-2", mBroken.address(), "ready", 1);
        restart();
    }

    private String head(String status, String id) {
        mAnswered.merge(id, 1, Integer::sum);
        return "HTTP/1.1 "
                + status
                + " X\r\nX-Request-Id: "
                + id
                + "\r\nX-Server-Stamp: s\r\nContent-Length: "
                + BODY.length
                + "\r\n\r\n";
    }

    private int answered(String idPrefix) {
        return mAnswered.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(idPrefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private CompletableFuture<String> call(String path, String id) {
        HttpRequest request =
                HttpRequest.to(
                        "POST",
                        URI.create("http://" + mFirstFront + path),
                        StandinDeployment.headers(id, CALL_TIMEOUT_MILLIS),
                        mDeployment.callBody().getBytes(StandardCharsets.UTF_8),
                        CALL_TIMEOUT_MILLIS);
        return mHttpClient
                .request(request, "test")
                .thenApply(
                        result -> result.fold(r -> r.status() + " " + r.text(), Fault::toString));
    }

    /**
     * Makes calls, some at the same time, until the broken endpoint has answered one; the entry
     * avoids it for a while after each answer, also after those to the calls of the fixture.
     */
    private List<String> callUntilMet(String path) {
        List<String> responses = new ArrayList<>();
        for (int i = 0; i < MAX_TRIES && answered("call-") == 0; i++) {
            List<CompletableFuture<String>> calls = new ArrayList<>();
            for (int j = 0; j < CALLS; j++) {
                calls.add(call(path, "call-" + i + "-" + j));
            }
            calls.forEach(call -> responses.add(call.join()));
        }
        assertThat(answered("call-"), is(greaterThan(0)));
        return responses;
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "103", "600", "2000"})
    void idempotentCallsAreAnsweredByAnotherEndpoint(String status) throws IOException {
        startBroken(status);

        assertThat(
                callUntilMet(mDeployment.callPath()),
                everyItem(is("200 " + mDeployment.callBody())));
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "600"})
    void otherCallsRunOnceAndFail(String status) throws IOException {
        startBroken(status);
        List<String> responses = callUntilMet(mDeployment.nonIdempotentCallPath());

        int failed = Collections.frequency(responses, "502 ");
        assertThat(failed, is(answered("call-")));
        assertThat(
                Collections.frequency(responses, "200 " + mDeployment.callBody()),
                is(responses.size() - failed));
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "2000"})
    void samplesAndTheirScoresAreServedByAnotherEndpoint(String status) throws IOException {
        startBroken(status);
        for (int i = 0; i < MAX_TRIES && answered("sample-") + answered("score-") == 0; i++) {
            String step = "step" + i;
            send(mFirstFront, "POST", mDeployment.stepPath(), step, mDeployment.stepBody(i));
            assertThat(readResults(mFirstFront, step), not(containsString("dead")));
        }

        assertThat(answered("sample-") + answered("score-"), is(greaterThan(0)));
    }
}
