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

/** Offers interactive calls and billing syncs at steady rates. Thread safe. */
final class DemoLoad implements AutoCloseable {
    static final long LOOKUP_TARGET_MILLIS = 400;

    private static final long LOOKUP_PERIOD_MILLIS = 25;
    private static final long SYNC_PERIOD_MILLIS = 50;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int MIN_TOKENS = 8;
    private static final int TOKEN_RANGE = 32;

    private final DemoFleet mFleet;
    private final CallResults mLog;
    private final Random mRandom;
    private final AtomicLong mNumbers = new AtomicLong();
    private final AtomicLong mOpen = new AtomicLong();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(1);

    DemoLoad(DemoFleet fleet, CallResults log, long seed) {
        mFleet = fleet;
        mLog = log;
        mRandom = new Random(seed);
    }

    void start() {
        mTimer.scheduleAtFixedRate(this::lookup, 0, LOOKUP_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        mTimer.scheduleAtFixedRate(this::sync, 0, SYNC_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Offers nothing more and waits for the answers that are due. */
    void finish() throws InterruptedException {
        mTimer.shutdown();
        mTimer.awaitTermination(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (mOpen.get() > 0 && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    private void lookup() {
        String prompt = "lookup-" + mNumbers.incrementAndGet();
        int tokens = MIN_TOKENS + mRandom.nextInt(TOKEN_RANGE);
        byte[] body = Json.write(Map.of("prompt", prompt, "max_tokens", tokens));
        URI uri = URI.create(mFleet.nextEntry() + "/v1/calls/slot-lookup");
        long begin = System.nanoTime();
        mOpen.incrementAndGet();
        mFleet.httpClient()
                .request(HttpRequest.json("POST", uri, body, TIMEOUT_MILLIS), "demo.lookup")
                .thenAccept(
                        result -> {
                            result.fold(
                                    reply -> onLookup(reply, prompt, tokens, begin), this::onLost);
                            mOpen.decrementAndGet();
                        });
    }

    private boolean onLookup(HttpResponse reply, String prompt, int tokens, long begin) {
        if (!reply.isSuccess()) {
            countFault(reply);
            return false;
        }
        mLog.recordAnswer(System.nanoTime() - begin, LOOKUP_TARGET_MILLIS);
        JsonNode choice = Json.tree(reply.body()).path("choices").path(0);
        if (!isCompleteAnswer(choice.path("text").asText(), prompt, tokens)) {
            mLog.mWrongAnswers.add(prompt);
        }
        return true;
    }

    /** Returns whether a text is the whole answer to a prompt. */
    static boolean isCompleteAnswer(String text, String prompt, int tokens) {
        String[] words = text.split(" ");
        boolean own = words[0].substring(words[0].indexOf(':') + 1).equals(prompt);
        return own && words.length == tokens + 1 && words[tokens].equals("t" + (tokens - 1));
    }

    private void sync() {
        String key = "sync-" + mNumbers.incrementAndGet();
        byte[] body = ("\"" + key + "\"").getBytes(StandardCharsets.UTF_8);
        HttpRequest call =
                HttpRequest.to(
                        "POST",
                        URI.create(mFleet.nextEntry() + "/v1/calls/billing-sync"),
                        Map.of("Content-Type", "application/json", "Idempotency-Key", key),
                        body,
                        TIMEOUT_MILLIS);
        mOpen.incrementAndGet();
        mFleet.httpClient()
                .request(call, "demo.sync")
                .thenAccept(
                        result -> {
                            result.fold(
                                    reply -> onSync(reply, key),
                                    fault -> mLog.mSyncUnknown.add(key));
                            mOpen.decrementAndGet();
                        });
    }

    private boolean onSync(HttpResponse reply, String key) {
        if (reply.isSuccess()) {
            return mLog.mSyncAnswered.add(key);
        }
        String outcome = Json.tree(reply.body()).path("error").path("outcome").asText();
        return outcome.equals("not-run") ? mLog.mSyncNotRun.add(key) : mLog.mSyncUnknown.add(key);
    }

    private void countFault(HttpResponse reply) {
        String outcome = Json.tree(reply.body()).path("error").path("outcome").asText();
        if (outcome.equals("not-run")) {
            mLog.mRefused.incrementAndGet();
        } else {
            mLog.mFailed.incrementAndGet();
        }
    }

    private boolean onLost(Fault fault) {
        mLog.mFailed.incrementAndGet();
        return false;
    }
}
