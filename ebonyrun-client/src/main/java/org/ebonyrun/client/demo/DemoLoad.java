package org.ebonyrun.client.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;

/** Sends interactive calls and billing syncs at constant rates. Thread safe. */
final class DemoLoad implements AutoCloseable {
    static final long LOOKUP_TARGET_MILLIS = 400;

    private static final long LOOKUP_PERIOD_MILLIS = 25;
    private static final long SYNC_PERIOD_MILLIS = 50;
    private static final long REQUEST_TIMEOUT_MILLIS = 10_000;
    private static final int MIN_TOKENS = 8;
    private static final int TOKEN_RANGE = 32;

    private final DemoFleet mFleet;
    private final CallResults mResults;
    private final Random mRandom;
    private final AtomicLong mLastNumber = new AtomicLong();
    private final AtomicLong mOpenRequests = new AtomicLong();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(1);

    DemoLoad(DemoFleet fleet, CallResults results, long seed) {
        mFleet = fleet;
        mResults = results;
        mRandom = new Random(seed);
    }

    void start() {
        mTimer.scheduleAtFixedRate(
                this::sendLookup, 0, LOOKUP_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        mTimer.scheduleAtFixedRate(this::sendSync, 0, SYNC_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops sending and waits for the outstanding responses. */
    void finish() throws InterruptedException {
        mTimer.shutdown();
        mTimer.awaitTermination(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REQUEST_TIMEOUT_MILLIS);
        while (mOpenRequests.get() > 0 && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    private void sendLookup() {
        String prompt = "lookup-" + mLastNumber.incrementAndGet();
        int tokens = MIN_TOKENS + mRandom.nextInt(TOKEN_RANGE);
        byte[] body = Json.write(Map.of("prompt", prompt, "max_tokens", tokens));
        URI uri = URI.create(mFleet.nextEntry() + "/v1/calls/slot-lookup");
        long begin = System.nanoTime();
        mOpenRequests.incrementAndGet();
        mFleet.httpClient()
                .request(HttpRequest.json("POST", uri, body, REQUEST_TIMEOUT_MILLIS), "demo.lookup")
                .thenAccept(
                        result -> {
                            result.fold(
                                    response -> onLookup(response, prompt, tokens, begin),
                                    this::onLookupFault);
                            mOpenRequests.decrementAndGet();
                        });
    }

    private boolean onLookup(HttpResponse response, String prompt, int tokens, long begin) {
        if (!response.isSuccess()) {
            countError(response);
            return false;
        }
        mResults.recordAnswer(System.nanoTime() - begin, LOOKUP_TARGET_MILLIS);
        JsonNode choice = Json.tree(response.body()).path("choices").path(0);
        if (!isCompleteAnswer(choice.path("text").asText(), prompt, tokens)) {
            mResults.mWrongAnswers.add(prompt);
        }
        return true;
    }

    /** Returns whether a text is a stand-in engine's complete response to a prompt. */
    static boolean isCompleteAnswer(String text, String prompt, int tokens) {
        String[] words = text.split(" ");
        boolean promptMatches = words[0].substring(words[0].indexOf(':') + 1).equals(prompt);
        return promptMatches
                && words.length == tokens + 1
                && words[tokens].equals("t" + (tokens - 1));
    }

    private void sendSync() {
        String key = "sync-" + mLastNumber.incrementAndGet();
        byte[] body = ("\"" + key + "\"").getBytes(StandardCharsets.UTF_8);
        HttpRequest request =
                HttpRequest.to(
                        "POST",
                        URI.create(mFleet.nextEntry() + "/v1/calls/billing-sync"),
                        Map.of("Content-Type", "application/json", "Idempotency-Key", key),
                        body,
                        REQUEST_TIMEOUT_MILLIS);
        mOpenRequests.incrementAndGet();
        mFleet.httpClient()
                .request(request, "demo.sync")
                .thenAccept(
                        result -> {
                            result.fold(
                                    response -> onSync(response, key),
                                    fault -> mResults.mSyncUnknown.add(key));
                            mOpenRequests.decrementAndGet();
                        });
    }

    private boolean onSync(HttpResponse response, String key) {
        if (response.isSuccess()) {
            return mResults.mSyncAnswered.add(key);
        }
        String outcome = Json.tree(response.body()).path("error").path("outcome").asText();
        return outcome.equals("not-run")
                ? mResults.mSyncNotRun.add(key)
                : mResults.mSyncUnknown.add(key);
    }

    private void countError(HttpResponse response) {
        String outcome = Json.tree(response.body()).path("error").path("outcome").asText();
        if (outcome.equals("not-run")) {
            mResults.mRefused.incrementAndGet();
        } else {
            mResults.mFailed.incrementAndGet();
        }
    }

    private boolean onLookupFault(Fault fault) {
        mResults.mFailed.incrementAndGet();
        return false;
    }
}
