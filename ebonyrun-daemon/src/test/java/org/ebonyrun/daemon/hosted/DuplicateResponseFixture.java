package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.platform.standin.FaultInjectingEndpoint;
import org.ebonyrun.platform.standin.FaultInjectingEndpoint.Event;
import org.ebonyrun.platform.standin.FaultInjectingEndpoint.ReceivedRequest;
import org.ebonyrun.platform.standin.FaultInjector;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Two entries with one endpoint, which may send duplicate or delayed responses.
 *
 * <p>The tests wait by polling an entry with requests that reach no endpoint, so that the polls
 * don't touch the connections between entry and endpoint.
 */
abstract class DuplicateResponseFixture extends HostedFixture {
    // Enough polls for the entry to retry a request, which takes some of its ticks.
    static final int RETRY_POLLS = 600;
    private static final int MAX_PAGES = 60;
    // Enough to outlast the time for which an entry may keep an endpoint whose record was removed.
    private static final int MAX_WARM_UP_CALLS = 40_000;
    private static final long CALLER_MILLIS = 19_000;
    private static final int OK = 200;

    FaultInjectingEndpoint mEndpoint;

    @BeforeEach
    void replaceEndpoint() throws IOException {
        mEndpoint =
                FaultInjectingEndpoint.start(
                        "i-2", mDeployment.eventsPerSample(), FaultInjector.disabled());
        mDeployment.unregister("i-1");
        mDeployment.register(mEndpoint.id(), mEndpoint.address(), "ready", 1);
        callUntilServedBy(mFirstFront, mEndpoint);
        callUntilServedBy(mSecondFront, mEndpoint);
    }

    @AfterEach
    void closeEndpoint() throws IOException {
        mEndpoint.close();
    }

    /** Sends calls to an entry until an endpoint has received one. */
    void callUntilServedBy(String front, FaultInjectingEndpoint endpoint) {
        boolean served = false;
        for (int i = 0; i < MAX_WARM_UP_CALLS && !served; i++) {
            String id = "warm-" + front + "-" + i;
            send(front, "POST", mDeployment.callPath(), id, "warm");
            served = !endpoint.received(id).isEmpty();
        }
        assertThat(front + " uses " + endpoint.id(), served, is(true));
    }

    /** Sends a call with a deadline that the tests don't reach. */
    CompletableFuture<HttpResponse> sendAsync(String front, String path, String id, String body) {
        return sendAsync(front, path, id, body, CALLER_MILLIS);
    }

    CompletableFuture<HttpResponse> sendAsync(
            String front, String path, String id, String body, long deadlineMillis) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        HttpRequest call =
                HttpRequest.to(
                        "POST",
                        URI.create("http://" + front + path),
                        StandinDeployment.headers(id, deadlineMillis),
                        bytes,
                        CALLER_MILLIS + TIMEOUT_MILLIS);
        return mHttpClient
                .request(call, "test")
                .thenApply(
                        result -> result.fold(r -> r, fault -> new HttpResponse(0, new byte[0])));
    }

    /** Polls an entry until a condition holds, at most a number of times. */
    void pollUntil(int maxPolls, BooleanSupplier condition) {
        for (int i = 0; i < maxPolls && !condition.getAsBoolean(); i++) {
            send(mSecondFront, "POST", "/none/1", "look", "");
        }
    }

    /**
     * Waits for the response to a call. Releases the responses that the endpoint delays once the
     * entry had time to send the call a second time.
     */
    HttpResponse awaitResponse(CompletableFuture<HttpResponse> response, String id) {
        pollUntil(RETRY_POLLS, () -> response.isDone() || mEndpoint.runs(id).size() > 1);
        mEndpoint.release();
        return response.join();
    }

    void submit(String front, String step, String body) {
        assertThat(step, send(front, "POST", mDeployment.stepPath(), step, body).status(), is(202));
    }

    /** Reads results of a step until an expected number is listed. */
    List<JsonNode> readResults(String front, String step, int expected) {
        List<JsonNode> results = new ArrayList<>();
        for (int i = 0; i < MAX_PAGES && results.size() < expected; i++) {
            String path = mDeployment.resultsPath(step, results.size());
            HttpResponse page = send(front, "GET", path, "", "");
            if (page.isSuccess()) {
                JsonTrees.read(page.body()).path("results").forEach(results::add);
            }
        }
        assertThat(step + " lists " + results, results.size(), is(expected));
        return results;
    }

    /**
     * Checks that a text has every event, and that each of its parts starts after the last event
     * that the request of its run names.
     */
    static void checkText(JsonNode result, int events, List<ReceivedRequest> received) {
        String sample = result.path("id").asText();
        String text = result.path("text").asText();
        String why = sample + " is listed as " + result;
        assertThat(why, result.path("state").asText(), is("done"));
        assertThat(why, text, not(is("")));
        String[] lines = text.split("\n");
        assertThat(why, lines.length, is(events));
        String run = "";
        for (int i = 0; i < lines.length; i++) {
            Event event = Event.parse(lines[i]);
            assertThat(why, event.sample(), is(sample));
            assertThat(why, event.number(), is(i + 1));
            if (!event.runId().equals(run)) {
                run = event.runId();
                assertThat(why + ", run " + run, lastEventBefore(run, received), is(i));
            }
        }
    }

    /** Returns the last event that the request of a run names; the run continues after it. */
    private static int lastEventBefore(String run, List<ReceivedRequest> received) {
        return received.stream()
                .filter(r -> r.runId().equals(run))
                .mapToInt(r -> r.request().lastEvent())
                .findFirst()
                .orElseThrow(() -> new AssertionError("no run " + run));
    }

    /** Checks that a call got the response to itself, which echoes its body. */
    static void checkEchoed(HttpResponse response, String body) {
        assertThat("status of the response", response.status(), is(OK));
        assertThat("body of the response", response.text(), is(body));
    }
}
