package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertAll;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.platform.standin.FaultInjectingEndpoint;
import org.ebonyrun.platform.standin.FaultInjectingEndpoint.ReceivedRequest;
import org.ebonyrun.platform.standin.FaultInjector;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs calls and steps in a seeded order while two endpoints send duplicate and delayed responses
 * of all kinds, and compares what callers and trainers received with what the endpoints did.
 *
 * <p>Guards against a response that is mistaken for the response to another request.
 */
class DuplicateResponseSoakTest extends DuplicateResponseFixture {
    /** The system property for the number of seeds to run. */
    private static final String SEEDS = "ebonyrun.stutter.seeds";

    /** The system property for the first seed to run. */
    private static final String FIRST_SEED = "ebonyrun.stutter.first";

    private static final long DEFAULT_SEEDS = 3;
    private static final int ACTIONS = 120;
    private static final int MAX_OPEN_CALLS = 6;
    private static final int MAX_OPEN_STEPS = 3;
    private static final int MAX_SAMPLES = 4;
    private static final int VERSION = 3;
    // An entry abandons a sample after this many failures.
    private static final int MAX_FAILURES = 3;
    private static final int MAX_POLLS = 10_000;
    // Enough polls for the planner to order every endpoint even if some orders fail.
    private static final int VERSION_POLLS = 20_000;
    private static final int POLLS_TO_RELEASE = 250;
    private static final int MAX_READS = 600;
    private static final int READS_TO_RELEASE = 4;
    private static final long DEADLINE_MILLIS = 3_000;
    // The key prefix of requests that always get one response at once.
    private static final String SINGLE_RESPONSE_PREFIX = "look";
    private static final List<Integer> STATUSES = List.of(200, 422, 500, 502, 503, 504);

    /** A call that was sent. */
    private record Call(
            String id,
            boolean nonIdempotent,
            String body,
            CompletableFuture<HttpResponse> response) {}

    /** A step that was submitted. */
    private record Step(String id, List<String> samples, boolean scored) {}

    private final List<Call> mCalls = new ArrayList<>();
    private final Deque<Call> mOpenCalls = new ArrayDeque<>();
    private final List<Step> mSteps = new ArrayList<>();
    private final Deque<Step> mOpenSteps = new ArrayDeque<>();
    private final List<String> mSamples = new ArrayList<>();
    private final List<List<JsonNode>> mListed = new ArrayList<>();
    private FaultInjectingEndpoint mOther;
    private Random mRandom;
    private int mPolls;

    static LongStream seeds() {
        long first = Long.getLong(FIRST_SEED, 1);
        return LongStream.range(first, first + Long.getLong(SEEDS, DEFAULT_SEEDS));
    }

    @AfterEach
    void closeOtherEndpoint() throws IOException {
        if (mOther != null) {
            mOther.close();
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void responsesMatchWhatTheEndpointsDid(long seed) throws IOException {
        mRandom = new Random(seed);
        mOther =
                FaultInjectingEndpoint.start(
                        "i-3", mDeployment.eventsPerSample(), FaultInjector.disabled());
        mDeployment.register(mOther.id(), mOther.address(), "ready", 1);
        mEndpoint.setFaultInjector(
                FaultInjector.seeded(mRandom.nextLong(), SINGLE_RESPONSE_PREFIX));
        mOther.setFaultInjector(FaultInjector.seeded(mRandom.nextLong(), SINGLE_RESPONSE_PREFIX));
        int versionAt = mRandom.nextInt(ACTIONS);
        for (int i = 0; i < ACTIONS; i++) {
            if (i == versionAt) {
                mDeployment.nameVersion(VERSION);
            }
            act("s" + seed + "-" + i);
        }
        while (!mOpenSteps.isEmpty()) {
            readOldest();
        }
        while (!mOpenCalls.isEmpty()) {
            awaitOldest();
        }
        release();
        check("seed " + seed);
    }

    private void act(String id) {
        switch (mRandom.nextInt(8)) {
            case 0 -> submitStep(id);
            case 1, 2, 3 -> call(id, true);
            case 4, 5 -> call(id, false);
            case 6 -> poll();
            default -> {
                if (!mOpenCalls.isEmpty()) {
                    awaitOldest();
                }
            }
        }
        while (mOpenCalls.size() > MAX_OPEN_CALLS) {
            awaitOldest();
        }
        while (mOpenSteps.size() > MAX_OPEN_STEPS) {
            readOldest();
        }
    }

    private String anyFront() {
        return mRandom.nextBoolean() ? mFirstFront : mSecondFront;
    }

    private void call(String id, boolean nonIdempotent) {
        String body = "body of " + id;
        String path = nonIdempotent ? mDeployment.nonIdempotentCallPath() : mDeployment.callPath();
        Call call =
                new Call(
                        id,
                        nonIdempotent,
                        body,
                        sendAsync(anyFront(), path, id, body, DEADLINE_MILLIS));
        mCalls.add(call);
        mOpenCalls.add(call);
    }

    /**
     * Sends a call that gets one response. Like any request, it counts towards the number of
     * requests for which the endpoints delay a response. Every {@link #POLLS_TO_RELEASE} polls, all
     * delayed responses are released.
     */
    private void poll() {
        String id = SINGLE_RESPONSE_PREFIX + "-" + ++mPolls;
        String body = "body of " + id;
        HttpResponse response = send(anyFront(), "POST", mDeployment.callPath(), id, body);
        if (response.isSuccess()) {
            assertThat(id, response.text(), is(body));
        }
        if (mPolls % POLLS_TO_RELEASE == 0) {
            release();
        }
    }

    private void release() {
        mEndpoint.release();
        mOther.release();
    }

    private void awaitOldest() {
        Call call = mOpenCalls.remove();
        for (int i = 0; i < MAX_POLLS && !call.response().isDone(); i++) {
            poll();
        }
        call.response().join();
    }

    /** Submits a step; some steps repeat a sample of an earlier step. */
    private void submitStep(String id) {
        List<String> samples = new ArrayList<>();
        int count = 1 + mRandom.nextInt(MAX_SAMPLES);
        for (int i = 0; i < count; i++) {
            samples.add("p" + i + "-" + id);
        }
        boolean repeats = mRandom.nextInt(3) == 0;
        if (repeats && !mSamples.isEmpty()) {
            samples.add(mSamples.get(mRandom.nextInt(mSamples.size())));
        }
        boolean scored = mRandom.nextBoolean();
        String body = mDeployment.stepBody(mSteps.size() + 1, samples, scored);
        int status = 0;
        for (int i = 0; i < MAX_TRIES && status != 202; i++) {
            status = send(anyFront(), "POST", mDeployment.stepPath(), id, body).status();
        }
        assertThat(id, status, is(202));
        Step step = new Step(id, samples, scored);
        mSteps.add(step);
        mOpenSteps.add(step);
    }

    /** Reads a step to its end; from then on later steps may repeat its samples. */
    private void readOldest() {
        Step step = mOpenSteps.remove();
        mListed.add(readAll(step, this::anyFront));
        mSamples.addAll(step.samples());
    }

    private List<JsonNode> readAll(Step step, Supplier<String> front) {
        List<JsonNode> results = new ArrayList<>();
        int expected = step.samples().size();
        for (int i = 0; i < MAX_READS && results.size() < expected; i++) {
            results.addAll(page(front.get(), step.id(), results.size()));
            if (i % READS_TO_RELEASE == 0) {
                release();
            }
        }
        assertThat(step + " lists " + results, results.size(), is(expected));
        return results;
    }

    private List<JsonNode> page(String front, String step, int from) {
        List<JsonNode> results = new ArrayList<>();
        HttpResponse response = send(front, "GET", mDeployment.resultsPath(step, from), "", "");
        if (response.isSuccess()) {
            JsonTrees.read(response.body()).path("results").forEach(results::add);
        }
        return results;
    }

    private List<ReceivedRequest> received(String key) {
        return Stream.concat(mEndpoint.received(key).stream(), mOther.received(key).stream())
                .toList();
    }

    private List<ReceivedRequest> runs(String key) {
        return received(key).stream().filter(ReceivedRequest::ran).toList();
    }

    private List<Integer> runStatuses(String key) {
        return runs(key).stream().map(ReceivedRequest::status).toList();
    }

    private void check(String seed) {
        List<Executable> checks = new ArrayList<>();
        for (Call call : mCalls) {
            checks.add(() -> check(call.id(), call));
        }
        for (int i = 0; i < mSteps.size(); i++) {
            Step step = mSteps.get(i);
            // Steps are read in the order of their submission.
            List<JsonNode> listed = mListed.get(i);
            listed.forEach(result -> checks.add(() -> check(result.toString(), step, result)));
            checks.add(() -> assertThat(readAll(step, () -> mFirstFront), is(listed)));
            checks.add(() -> assertThat(readAll(step, () -> mSecondFront), is(listed)));
        }
        // From here on endpoints carry out every order, so a wrong version means a missing order.
        mEndpoint.setFaultInjector(FaultInjector.disabled());
        mOther.setFaultInjector(FaultInjector.disabled());
        pollUntil(
                VERSION_POLLS, () -> mEndpoint.version() >= VERSION && mOther.version() >= VERSION);
        for (FaultInjectingEndpoint endpoint : List.of(mEndpoint, mOther)) {
            String id = endpoint.id();
            checks.add(() -> assertThat(id, endpoint.version(), is(VERSION)));
            checks.add(() -> assertThat(id, endpoint.idsRepeatedOnConnection(), is(List.of())));
        }
        assertAll(seed, checks.stream());
    }

    private void check(String why, Call call) {
        HttpResponse response = call.response().join();
        List<Integer> statuses = runStatuses(call.id());
        String description = why + " answered " + response.status() + ", runs " + runs(call.id());
        assertThat(description, response.status(), is(in(STATUSES)));
        if (call.nonIdempotent()) {
            assertThat(description, statuses.size(), is(lessThanOrEqualTo(1)));
        }
        switch (response.status()) {
            case 200 -> {
                assertThat(description, response.text(), is(call.body()));
                assertThat(description, statuses, hasItem(200));
            }
            case 503 -> assertThat(description, statuses, is(List.of()));
            case 422, 500 -> assertThat(description, statuses, hasItem(response.status()));
            default -> {
                // After 502 or 504 the call may or may not have run.
            }
        }
    }

    private void check(String why, Step step, JsonNode result) {
        String sample = result.path("id").asText();
        assertThat(why, sample, is(in(step.samples())));
        String scorer = StandinDeployment.scoreId(sample);
        if (result.path("state").asText().equals("dead")) {
            boolean impossible = runStatuses(sample).contains(422);
            int failures = Math.max(failures(sample), step.scored() ? failures(scorer) : 0);
            if (!impossible) {
                assertThat(why, failures, is(greaterThanOrEqualTo(MAX_FAILURES)));
            }
            return;
        }
        checkText(result, mDeployment.eventsPerSample(), received(sample));
        if (step.scored()) {
            String score = result.path("score").asText();
            long matching =
                    runs(scorer).stream()
                            .filter(r -> r.status() == 200 && score.endsWith("#" + r.runId()))
                            .count();
            assertThat(why + ", scored in " + runs(scorer), matching, is(greaterThan(0L)));
        }
    }

    private int failures(String key) {
        return (int) runStatuses(key).stream().filter(status -> status == 500).count();
    }
}
