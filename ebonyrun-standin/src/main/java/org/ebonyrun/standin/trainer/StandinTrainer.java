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
 * A trainer: submits a step, pulls its samples, trains, publishes new weights, and begins again.
 *
 * <p>Thread safe: one thread runs the trainer; its logs may be read from others.
 */
public final class StandinTrainer implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long WAIT_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long RETRY_MILLIS = 100;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TrainerSettings mSettings;
    private final AsyncHttpClient mCaller;
    private final Supplier<URI> mEntry;
    private final URI mWeights;
    private final List<ReceivedSample> mSamples = new CopyOnWriteArrayList<>();
    private final List<Long> mIdleMillis = new CopyOnWriteArrayList<>();
    private volatile boolean mStopping;
    private volatile long mCompleted;
    private volatile String mLastFault = "";
    private long mVersion;

    private StandinTrainer(
            TrainerSettings settings,
            AsyncHttpClient caller,
            Supplier<URI> entry,
            URI weights,
            long version) {
        mSettings = settings;
        mCaller = caller;
        mEntry = entry;
        mWeights = weights;
        mVersion = version;
    }

    /**
     * Creates a trainer.
     *
     * @param entry gives the entry for each request, as a balancer would
     * @param weights the weight store
     * @param version the version of the weights that the trainer begins with
     */
    public static StandinTrainer create(
            TrainerSettings settings,
            AsyncHttpClient caller,
            Supplier<URI> entry,
            URI weights,
            long version) {
        return new StandinTrainer(settings, caller, entry, weights, version);
    }

    /** Returns the samples that arrived, in order. */
    public List<ReceivedSample> samples() {
        return List.copyOf(mSamples);
    }

    /** Returns how long the trainer waited for each completed step, in milliseconds. */
    public List<Long> idleMillis() {
        return List.copyOf(mIdleMillis);
    }

    /** Returns the number of completed steps. */
    public long completedSteps() {
        return mCompleted;
    }

    /** Returns the newest error that the trainer met; empty if none. */
    public String lastError() {
        return mLastFault;
    }

    /** Returns how the trainer behaves. */
    public TrainerSettings settings() {
        return mSettings;
    }

    /** Lets the trainer end after the step that it is in. */
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
        long begin = System.nanoTime();
        String path = "/v1/trainers/" + mSettings.trainer() + "/steps/" + step;
        askUntilAnswered("PUT", path, submission(step));
        String cursor = "";
        boolean complete = false;
        while (!complete) {
            JsonNode answer = askUntilAnswered("POST", path + "/pull", pull(cursor));
            for (JsonNode sample : answer.path("samples")) {
                mSamples.add(received(step, sample));
            }
            cursor = answer.path("cursor").asText();
            complete = answer.path("complete").asBoolean();
        }
        mIdleMillis.add((System.nanoTime() - begin) / NANOS_PER_MILLI);
        mCompleted++;
        TimeUnit.MILLISECONDS.sleep(mSettings.trainMillis());
        mVersion++;
        publish();
    }

    private ReceivedSample received(long step, JsonNode sample) {
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
        URI uri = URI.create(mWeights + "/weights/" + mSettings.service() + "/" + mVersion);
        HttpRequest call = HttpRequest.of("PUT", uri, TIMEOUT_MILLIS);
        while (!mCaller.request(call, "weights.publish").join().isOk()) {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
    }

    /** Repeats a request, each time at the next entry, until one answers it. */
    private JsonNode askUntilAnswered(String method, String path, byte[] body)
            throws InterruptedException {
        while (true) {
            URI uri = URI.create(mEntry.get() + path);
            HttpRequest call = HttpRequest.json(method, uri, body, TIMEOUT_MILLIS);
            Result<HttpResponse> result = mCaller.request(call, "trainer." + method).join();
            HttpResponse reply = result.fold(value -> value, fault -> failed(fault.toString()));
            if (reply.isSuccess()) {
                return parse(reply.body());
            }
            mLastFault = method + " " + path + ": " + reply.text();
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
    }

    private static HttpResponse failed(String detail) {
        return new HttpResponse(0, detail.getBytes(StandardCharsets.UTF_8));
    }

    private byte[] submission(long step) {
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

    private byte[] pull(String cursor) {
        ObjectNode body = JSON.createObjectNode();
        body.put("cursor", cursor);
        body.put("version", mVersion);
        body.put("wait_ms", WAIT_MILLIS);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new IllegalStateException("answer is not JSON: " + e.getMessage(), e);
        }
    }
}
