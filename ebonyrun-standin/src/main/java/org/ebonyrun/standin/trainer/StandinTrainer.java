package org.ebonyrun.standin.trainer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;

/**
 * A stand-in trainer. In a loop, it submits a step, pulls its samples, trains, and publishes new
 * weights.
 *
 * <p>Thread safe: one thread runs the trainer; any thread may read its results.
 */
public final class StandinTrainer implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PULL_WAIT_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long RETRY_MILLIS = 100;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TrainerSettings mSettings;
    private final AsyncHttpClient mHttpClient;
    private final Supplier<URI> mEntrySupplier;
    private final URI mWeightStore;
    private final List<ReceivedSample> mSamples = new CopyOnWriteArrayList<>();
    private final List<Long> mIdleMillis = new CopyOnWriteArrayList<>();
    private volatile boolean mStopping;
    private volatile long mCompletedSteps;
    private volatile String mLastError = "";
    private long mVersion;

    private StandinTrainer(
            TrainerSettings settings,
            AsyncHttpClient httpClient,
            Supplier<URI> entry,
            URI weights,
            long version) {
        mSettings = settings;
        mHttpClient = httpClient;
        mEntrySupplier = entry;
        mWeightStore = weights;
        mVersion = version;
    }

    /**
     * Creates a trainer.
     *
     * @param entry supplies the address of an entry for each request, as a load balancer does
     * @param weights the address of the weight store
     * @param version the weight version that the trainer starts with
     */
    public static StandinTrainer create(
            TrainerSettings settings,
            AsyncHttpClient httpClient,
            Supplier<URI> entry,
            URI weights,
            long version) {
        return new StandinTrainer(settings, httpClient, entry, weights, version);
    }

    /** Returns the received samples in the order of their arrival. */
    public List<ReceivedSample> samples() {
        return List.copyOf(mSamples);
    }

    /** Returns the time that the trainer waited for each completed step, in milliseconds. */
    public List<Long> idleMillis() {
        return List.copyOf(mIdleMillis);
    }

    /** Returns the number of completed steps. */
    public long completedSteps() {
        return mCompletedSteps;
    }

    /** Returns the last error of a request; empty if there was none. */
    public String lastError() {
        return mLastError;
    }

    /** Returns the options of the trainer. */
    public TrainerSettings settings() {
        return mSettings;
    }

    /** Stops the trainer after its current step. */
    public void stop() {
        mStopping = true;
    }

    @Override
    public void run() {
        try {
            for (long step = 0; !mStopping; step++) {
                runStep(step);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runStep(long step) throws InterruptedException {
        long startedAt = System.nanoTime();
        String path = "/v1/trainers/" + mSettings.trainer() + "/steps/" + step;
        sendUntilSuccess("PUT", path, encodeSubmission(step));
        String cursor = "";
        boolean complete = false;
        while (!complete) {
            JsonNode response = sendUntilSuccess("POST", path + "/pull", encodePull(cursor));
            for (JsonNode sample : response.path("samples")) {
                mSamples.add(toReceivedSample(step, sample));
            }
            cursor = response.path("cursor").asText();
            complete = response.path("complete").asBoolean();
        }
        mIdleMillis.add((System.nanoTime() - startedAt) / NANOS_PER_MILLI);
        mCompletedSteps++;
        TimeUnit.MILLISECONDS.sleep(mSettings.trainMillis());
        mVersion++;
        publish();
    }

    private ReceivedSample toReceivedSample(long step, JsonNode sample) {
        List<Long> versions = new ArrayList<>();
        sample.path("versions").forEach(version -> versions.add(version.asLong()));
        return new ReceivedSample(
                step,
                sample.path("slot").asInt(),
                sample.path("text").asText(),
                versions,
                mVersion,
                sample.hasNonNull("score"));
    }

    private void publish() throws InterruptedException {
        URI uri = URI.create(mWeightStore + "/weights/" + mSettings.service() + "/" + mVersion);
        HttpRequest request = HttpRequest.of("PUT", uri, TIMEOUT_MILLIS);
        while (!mHttpClient.request(request, "weights.publish").join().isOk()) {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
    }

    /** Retries a request, each time at the next entry, until it succeeds. */
    private JsonNode sendUntilSuccess(String method, String path, byte[] body)
            throws InterruptedException {
        while (true) {
            URI uri = URI.create(mEntrySupplier.get() + path);
            HttpRequest request = HttpRequest.json(method, uri, body, TIMEOUT_MILLIS);
            Result<HttpResponse> result = mHttpClient.request(request, "trainer." + method).join();
            HttpResponse response =
                    result.fold(value -> value, fault -> failedResponse(fault.toString()));
            if (response.isSuccess()) {
                return parse(response.body());
            }
            mLastError = method + " " + path + ": " + response.text();
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
    }

    private static HttpResponse failedResponse(String detail) {
        return new HttpResponse(0, detail.getBytes(StandardCharsets.UTF_8));
    }

    private byte[] encodeSubmission(long step) {
        ObjectNode body = JSON.createObjectNode();
        body.put("class", mSettings.className());
        body.put("version", mVersion);
        ArrayNode groups = body.putArray("groups");
        for (int group = 0; group < mSettings.groups(); group++) {
            String prompt = mSettings.trainer() + "/" + step + "/" + group;
            groups.addObject()
                    .put("prompt", prompt)
                    .put("samples", mSettings.samplesPerGroup())
                    .put("max_tokens", mSettings.maxTokens());
        }
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private byte[] encodePull(String cursor) {
        ObjectNode body = JSON.createObjectNode();
        body.put("cursor", cursor);
        body.put("version", mVersion);
        body.put("wait_ms", PULL_WAIT_MILLIS);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new IllegalStateException("response is not JSON: " + e.getMessage(), e);
        }
    }
}
