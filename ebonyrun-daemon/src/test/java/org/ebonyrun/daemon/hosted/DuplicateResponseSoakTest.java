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
import org.ebonyrun.platform.standin.StandinScene;
import org.ebonyrun.platform.standin.Stutter;
import org.ebonyrun.platform.standin.StutteringEndpoint;
import org.ebonyrun.platform.standin.StutteringEndpoint.Received;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays calls and steps in a seeded order while two endpoints answer twice in all ways, and
 * compares what callers and trainers were told with what the endpoints did.
 */
class DuplicateResponseSoakTest extends DuplicateResponseFixture {
    /** The number of seeds that are played. */
    private static final String SEEDS = "ebonyrun.stutter.seeds";

    /** The first seed that is played. */
    private static final String FIRST_SEED = "ebonyrun.stutter.first";

    private static final long DEFAULT_SEEDS = 3;
    private static final int ACTIONS = 120;
    private static final int MOST_OPEN_CALLS = 6;
    private static final int MOST_OPEN_STEPS = 3;
    private static final int MOST_SAMPLES = 4;
    private static final int VERSION = 3;
    private static final int MOST_FAILURES = 3;
    private static final int MOST_LOOKS = 10_000;
    // Enough for the planner to order each endpoint after failures.
    private static final int VERSION_LOOKS = 20_000;
    private static final int LOOKS_TO_RELEASE = 250;
    private static final int MOST_READS = 600;
    private static final int READS_TO_RELEASE = 4;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final String SPARED = "look";
    private static final List<Integer> STATUSES = List.of(200, 422, 500, 502, 503, 504);

    /** A call that was sent. */
    private record Call(
            String id, boolean onceOnly, String body, CompletableFuture<HttpResponse> answer) {}

    /** A step that was submitted. */
    private record Step(String id, List<String> samples, boolean scored) {}

    private final List<Call> mCalls = new ArrayList<>();
    private final Deque<Call> mOpenCalls = new ArrayDeque<>();
    private final List<Step> mSteps = new ArrayList<>();
    private final Deque<Step> mOpenSteps = new ArrayDeque<>();
    private final List<String> mSamples = new ArrayList<>();
    private final List<List<JsonNode>> mListed = new ArrayList<>();
    private StutteringEndpoint mOther;
    private Random mRandom;
    private int mLooks;

    static LongStream seeds() {
        long first = Long.getLong(FIRST_SEED, 1);
        return LongStream.range(first, first + Long.getLong(SEEDS, DEFAULT_SEEDS));
    }

    @AfterEach
    void closeTheOther() throws IOException {
        if (mOther != null) {
            mOther.close();
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void callersAndTrainersAreToldWhatTheEndpointsDid(long seed) throws IOException {
        mRandom = new Random(seed);
        mOther = StutteringEndpoint.start("i-3", mScene.events(), Stutter.never());
        mScene.register(mOther.id(), mOther.address(), "ready", 1);
        mEndpoint.stutter(Stutter.seeded(mRandom.nextLong(), SPARED));
        mOther.stutter(Stutter.seeded(mRandom.nextLong(), SPARED));
        int namedAt = mRandom.nextInt(ACTIONS);
        for (int i = 0; i < ACTIONS; i++) {
            if (i == namedAt) {
                mScene.nameVersion(VERSION);
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
            case 0 -> step(id);
            case 1, 2, 3 -> call(id, true);
            case 4, 5 -> call(id, false);
            case 6 -> look();
            default -> {
                if (!mOpenCalls.isEmpty()) {
                    awaitOldest();
                }
            }
        }
        while (mOpenCalls.size() > MOST_OPEN_CALLS) {
            awaitOldest();
        }
        while (mOpenSteps.size() > MOST_OPEN_STEPS) {
            readOldest();
        }
    }

    private String front() {
        return mRandom.nextBoolean() ? mFirstFront : mSecondFront;
    }

    private void call(String id, boolean onceOnly) {
        String body = "body of " + id;
        String path = onceOnly ? mScene.onceOnlyPath() : mScene.callPath();
        Call call =
                new Call(id, onceOnly, body, sendAsync(front(), path, id, body, DEADLINE_MILLIS));
        mCalls.add(call);
        mOpenCalls.add(call);
    }

    /** Sends a call that endpoints answer once; it counts for what they hold back. */
    private void look() {
        String id = SPARED + "-" + ++mLooks;
        String body = "body of " + id;
        HttpResponse reply = send(front(), "POST", mScene.callPath(), id, body);
        if (reply.isSuccess()) {
            assertThat(id, reply.text(), is(body));
        }
        if (mLooks % LOOKS_TO_RELEASE == 0) {
            release();
        }
    }

    private void release() {
        mEndpoint.release();
        mOther.release();
    }

    private void awaitOldest() {
        Call call = mOpenCalls.remove();
        for (int i = 0; i < MOST_LOOKS && !call.answer().isDone(); i++) {
            look();
        }
        call.answer().join();
    }

    /** Submits a step; some ask for a sample again that an earlier one had. */
    private void step(String id) {
        List<String> samples = new ArrayList<>();
        int count = 1 + mRandom.nextInt(MOST_SAMPLES);
        for (int i = 0; i < count; i++) {
            samples.add("p" + i + "-" + id);
        }
        boolean again = mRandom.nextInt(3) == 0;
        if (again && !mSamples.isEmpty()) {
            samples.add(mSamples.get(mRandom.nextInt(mSamples.size())));
        }
        boolean scored = mRandom.nextBoolean();
        String body = mScene.stepBody(mSteps.size() + 1, samples, scored);
        int status = 0;
        for (int i = 0; i < MAX_TRIES && status != 202; i++) {
            status = send(front(), "POST", mScene.stepPath(), id, body).status();
        }
        assertThat(id, status, is(202));
        Step step = new Step(id, samples, scored);
        mSteps.add(step);
        mOpenSteps.add(step);
    }

    /** Reads a step to its end; its samples may be asked for again from then on. */
    private void readOldest() {
        Step step = mOpenSteps.remove();
        mListed.add(readAll(step, this::front));
        mSamples.addAll(step.samples());
    }

    private List<JsonNode> readAll(Step step, Supplier<String> front) {
        List<JsonNode> results = new ArrayList<>();
        int wanted = step.samples().size();
        for (int i = 0; i < MOST_READS && results.size() < wanted; i++) {
            results.addAll(page(front.get(), step.id(), results.size()));
            if (i % READS_TO_RELEASE == 0) {
                release();
            }
        }
        assertThat(step + " lists " + results, results.size(), is(wanted));
        return results;
    }

    private List<JsonNode> page(String front, String step, int from) {
        List<JsonNode> results = new ArrayList<>();
        HttpResponse reply = send(front, "GET", mScene.resultsPath(step, from), "", "");
        if (reply.isSuccess()) {
            JsonTrees.read(reply.body()).path("results").forEach(results::add);
        }
        return results;
    }

    private List<Received> received(String key) {
        return Stream.concat(mEndpoint.received(key).stream(), mOther.received(key).stream())
                .toList();
    }

    private List<Received> runs(String key) {
        return received(key).stream().filter(Received::ran).toList();
    }

    private List<Integer> given(String key) {
        return runs(key).stream().map(Received::status).toList();
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
        // From here on an order that is given is carried out; one that isn't given stays away.
        mEndpoint.stutter(Stutter.never());
        mOther.stutter(Stutter.never());
        pollUntil(
                VERSION_LOOKS, () -> mEndpoint.version() >= VERSION && mOther.version() >= VERSION);
        for (StutteringEndpoint endpoint : List.of(mEndpoint, mOther)) {
            String id = endpoint.id();
            checks.add(() -> assertThat(id, endpoint.version(), is(VERSION)));
            checks.add(() -> assertThat(id, endpoint.sameConnectionRepeats(), is(List.of())));
        }
        assertAll(seed, checks.stream());
    }

    private void check(String why, Call call) {
        HttpResponse reply = call.answer().join();
        List<Integer> given = given(call.id());
        String full = why + " answered " + reply.status() + ", runs " + runs(call.id());
        assertThat(full, reply.status(), is(in(STATUSES)));
        if (call.onceOnly()) {
            assertThat(full, given.size(), is(lessThanOrEqualTo(1)));
        }
        switch (reply.status()) {
            case 200 -> {
                assertThat(full, reply.text(), is(call.body()));
                assertThat(full, given, hasItem(200));
            }
            case 503 -> assertThat(full, given, is(List.of()));
            case 422, 500 -> assertThat(full, given, hasItem(reply.status()));
            default -> {
                // Promises nothing.
            }
        }
    }

    private void check(String why, Step step, JsonNode result) {
        String sample = result.path("id").asText();
        assertThat(why, sample, is(in(step.samples())));
        String scorer = StandinScene.scoreId(sample);
        if (result.path("state").asText().equals("dead")) {
            boolean impossible = given(sample).contains(422);
            int failures = Math.max(failures(sample), step.scored() ? failures(scorer) : 0);
            if (!impossible) {
                assertThat(why, failures, is(greaterThanOrEqualTo(MOST_FAILURES)));
            }
            return;
        }
        checkText(result, mScene.events(), received(sample));
        if (step.scored()) {
            String score = result.path("score").asText();
            long made =
                    runs(scorer).stream()
                            .filter(r -> r.status() == 200 && score.endsWith("#" + r.run()))
                            .count();
            assertThat(why + ", scored in " + runs(scorer), made, is(greaterThan(0L)));
        }
    }

    private int failures(String key) {
        return (int) given(key).stream().filter(status -> status == 500).count();
    }
}
