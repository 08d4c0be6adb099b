package org.ebonyrun.standin.loopback;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.http.HttpResponseListener;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Stops, drains and restarts agents while streams are running, over loopback sockets. */
@Timeout(60)
class NodeLifecycleTest {
    private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");
    private static final String LONG_STREAM =
            "{\"prompt\":\"long\",\"max_tokens\":200,\"stream\":true}";

    /** Collects a stream. A latch opens at its first piece, a future completes at its end. */
    private static final class Stream implements HttpResponseListener {
        private final CountDownLatch mFirstPiece = new CountDownLatch(1);
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();
        private final StringBuilder mText = new StringBuilder();

        @Override
        public void onHead(org.ebonyrun.ports.http.HttpResponseHead head) {}

        @Override
        public void onData(byte[] data) {
            mText.append(new String(data, StandardCharsets.UTF_8));
            mFirstPiece.countDown();
        }

        @Override
        public void onEnd() {
            mEnd.complete(mText.toString());
        }

        @Override
        public void onFailure(boolean sent, String detail) {
            mEnd.complete(mText + "FAILED " + detail);
        }
    }

    @Test
    void anInterruptedStreamEndsWithAnErrorEvent() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet()) {
            Stream stream = new Stream();
            fleet.mHttpClient.send(
                    fleet.request("POST", "/v1/calls/lookup", JSON, LONG_STREAM), stream);
            stream.mFirstPiece.await();
            fleet.mAgents[0].close();
            fleet.mAgents[1].close();
            String text = stream.mEnd.join();
            assertThat(text, containsString("event: error"));
            assertThat(text.contains("[DONE]"), is(false));
        }
    }

    @Test
    void aDrainingAgentFinishesItsStreamAndGetsNoNewWork() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet()) {
            Stream stream = new Stream();
            fleet.mHttpClient.send(
                    fleet.request("POST", "/v1/calls/lookup", JSON, LONG_STREAM), stream);
            stream.mFirstPiece.await();
            fleet.mAgents[0].drain();
            fleet.mAgents[1].drain();
            Result<HttpResponse> refused = fleet.call("{\"prompt\":\"late\"}");
            assertThat(refused.orThrow().text(), containsString("\"outcome\":\"not-run\""));
            assertThat(stream.mEnd.join(), containsString("[DONE]"));
            boolean ran = false;
            for (var engine : fleet.mEngines) {
                ran |= engine.log().stream().anyMatch(run -> run.prompt().equals("late"));
            }
            assertThat(ran, is(false));
        }
    }

    @Test
    void aStepCompletesAfterTheLossOfAnAgentThatHoldsItsSamples() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet()) {
            String step = "/v1/trainers/t/steps/1";
            String body =
                    "{\"class\":\"rollout\",\"version\":1,\"groups\":"
                            + "[{\"prompt\":\"p\",\"samples\":6,\"max_tokens\":8}]}";
            fleet.send("PUT", step, JSON, body).orThrow();
            awaitReady(fleet, 6);
            fleet.mAgents[0].close();
            fleet.startAgent(0);
            fleet.awaitUsableEndpoints(2);
            String cursor = "";
            int samples = 0;
            boolean complete = false;
            while (!complete) {
                String pull = "{\"cursor\":\"" + cursor + "\",\"version\":1,\"wait_ms\":1000}";
                String response = fleet.send("POST", step + "/pull", JSON, pull).orThrow().text();
                samples += response.split("\"slot\":", -1).length - 1;
                cursor = response.replaceAll("(?s).*\"cursor\":\"([^\"]*)\".*", "$1");
                complete = response.contains("\"complete\":true");
            }
            assertThat(samples, is(6));
        }
    }

    @Test
    void configurationStaysInForceDuringAnOutageOfThePlatform() throws IOException {
        try (LoopbackFleet fleet = new LoopbackFleet()) {
            fleet.mPlatform.setDown(true);
            HttpResponse response = fleet.call("{\"prompt\":\"on\",\"max_tokens\":2}").orThrow();
            assertThat(response.text(), containsString(":on t0 t1"));
            HttpResponse refused =
                    fleet.send(
                                    "PUT",
                                    "/v1/trainers/t/steps/1",
                                    JSON,
                                    "{\"class\":\"rollout\","
                                            + "\"version\":1,\"groups\":[{\"prompt\":\"p\","
                                            + "\"samples\":1,\"max_tokens\":1}]}")
                            .orThrow();
            assertThat(refused.status(), is(503));
        }
    }

    private static void awaitReady(LoopbackFleet fleet, int count) {
        String dump = "";
        while (!dump.contains("\"ready\":" + count)) {
            dump = fleet.send("GET", "/admin/dump", Map.of(), "").orThrow().text();
        }
    }
}
