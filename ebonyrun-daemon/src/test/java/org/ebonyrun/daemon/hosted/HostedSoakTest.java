package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.platform.standin.StandinEndpoint;
import org.ebonyrun.platform.standin.StandinStore;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays steps and calls while store, endpoint and entries fail by turns, in a seeded order. */
class HostedSoakTest extends HostedFixture {
    private static final int STEPS = 12;
    private static final int STEPS_WITHOUT = 5;

    /** What goes wrong while a step runs. */
    private enum Trouble {
        NOTHING,
        STORE_REFUSES_SOME,
        STORE_REFUSES_ALL,
        STORE_LOSES_COMMITS,
        STORE_FORGETS_HISTORY,
        ENDPOINT_REFUSES,
        STREAM_BREAKS,
        OWNER_CRASHES,
        STEP_ENDS_EARLY,
        VERSION_IS_NAMED,
        CONFIGURATIONS_FOLLOW
    }

    private int mVersion = 1;
    private int mConfig = 1;
    private int mCalls;

    // More are played by hand with -Dsoak.seeds=N.
    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("soak.seeds", 3));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void stepsAreDeliveredWholeAndOnceAndCallsGetTheirOwnAnswers(long seed) throws IOException {
        play(seed, STEPS);
    }

    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void theSameHoldsWithoutAnyOneMechanism(Mechanism mechanism) throws IOException {
        restartWithout(mechanism);
        play(1, STEPS_WITHOUT);
    }

    private void play(long seed, int steps) throws IOException {
        Random random = new Random(seed);
        Trouble[] troubles = Trouble.values();
        for (int number = 1; number <= steps; number++) {
            Trouble first = troubles[random.nextInt(troubles.length)];
            Trouble second = troubles[random.nextInt(troubles.length)];
            String step = "soak-" + seed + "-" + number;
            boolean atFirst = random.nextBoolean();
            String why = "step " + step + " with " + first + " and " + second;
            begin(first, random);
            begin(second, random);
            submit(step, number, atFirst);
            call();
            boolean ended = during(first, step) | during(second, step);
            heal();
            String listed = ended ? listed(mFirstFront, step) : readResults(mFirstFront, step);
            check(why, listed, ended ? 0 : 1);
            String other = ended ? listed(mSecondFront, step) : readResults(mSecondFront, step);
            check(why, other, ended ? 0 : 1);
            // What was being stored when the step ended may still be listed.
            assertThat(why, other, ended ? startsWith(listed) : is(listed));
            // What one entry has shown, the other shows too.
            assertThat(why, listed(mFirstFront, step), startsWith(other));
            call();
        }
    }

    private void begin(Trouble trouble, Random random) {
        switch (trouble) {
            case STORE_REFUSES_SOME ->
                    mScene.platform().setFailureStatus(n -> n % 3 == 0 ? 503 : 0);
            case STORE_LOSES_COMMITS ->
                    mScene.platform().dropCommitResponses(1 + random.nextInt(3));
            case STORE_FORGETS_HISTORY -> mScene.platform().store().compact();
            case ENDPOINT_REFUSES -> mScene.endpoint().rejectNext(1 + random.nextInt(5));
            case STREAM_BREAKS -> mScene.endpoint().breakNextAfter(random.nextInt(3));
            default -> {
                // Goes wrong once the step runs.
            }
        }
    }

    /** Submits a step at the entries in turn, as a trainer does, until one has accepted it. */
    private void submit(String step, int number, boolean atFirst) {
        String body = mScene.stepBody(number);
        int status = 0;
        for (int i = 0; i < MAX_TRIES && status != 202; i++) {
            String front = atFirst == (i % 2 == 0) ? mFirstFront : mSecondFront;
            status = send(front, "POST", mScene.stepPath(), step, body).status();
        }
        assertThat(step, status, is(202));
    }

    /** Sends a call, whose answer is its own body. */
    private void call() {
        String body = "call-" + ++mCalls;
        String front = mCalls % 2 == 0 ? mFirstFront : mSecondFront;
        HttpResponse reply = send(front, "POST", mScene.callPath(), body, body);

        assertThat(body, reply.status(), is(200));
        assertThat(reply.text(), is(body));
    }

    /** Returns whether the step ended before it was whole. */
    private boolean during(Trouble trouble, String step) throws IOException {
        switch (trouble) {
            case STORE_REFUSES_ALL -> {
                mScene.platform().setFailureStatus(n -> 503);
                call();
                String other = "other-" + step;
                int status =
                        send(mFirstFront, "POST", mScene.stepPath(), other, mScene.stepBody(0))
                                .status();
                assertThat(step, status, is(503));
            }
            case OWNER_CRASHES -> crashOwner(step);
            case STEP_ENDS_EARLY -> {
                sendUntil(
                        HttpResponse::isSuccess,
                        mSecondFront,
                        "DELETE",
                        mScene.stepEndPath(step),
                        "");
                return true;
            }
            case VERSION_IS_NAMED -> {
                mVersion++;
                String named = "{\"model\":\"m\",\"version\":" + mVersion + "}";
                mScene.platform().put("op/version/m", named);
            }
            case CONFIGURATIONS_FOLLOW -> {
                for (int i = 0; i < 5; i++) {
                    mScene.platform().put("op/config", mScene.config(++mConfig));
                }
            }
            default -> {
                // Went wrong before the step was submitted.
            }
        }
        return false;
    }

    /** Stops the step's owner without notice, lets its lease lapse, and starts its VM again. */
    private void crashOwner(String step) throws IOException {
        String key = StoreKeys.liveKey(StepId.of(step), StoreKeys.OWNER);
        StandinStore.Entry owner = mScene.platform().store().get(key);
        if (owner == null) {
            // It has crashed before, or the step is over.
            return;
        }
        String name = new String(Base64.getDecoder().decode(owner.value()), StandardCharsets.UTF_8);
        String front = text(freeAddress());
        if (name.startsWith("edge-1/")) {
            mFirstEntry.close();
            mScene.platform().remove(key);
            mFirstFront = front;
            mFirstEntry = startEntry("edge-1", front);
        } else {
            mSecondEntry.close();
            mScene.platform().remove(key);
            mSecondFront = front;
            mSecondEntry = startEntry("edge-2", front);
        }
        awaitReady(front);
    }

    private void heal() {
        mScene.platform().setFailureStatus(n -> 0);
        mScene.platform().dropCommitResponses(0);
        mScene.endpoint().rejectNext(0);
    }

    /**
     * Reads what is listed of a step now: pages up to the first empty one, since a page need not
     * hold all that follows.
     */
    private String listed(String front, String step) {
        StringBuilder results = new StringBuilder();
        int from = 0;
        int next = -1;
        while (next != from) {
            from = Math.max(next, 0);
            String path = mScene.resultsPath(step, from);
            HttpResponse page = sendUntil(HttpResponse::isSuccess, front, "GET", path, "");
            JsonNode json = JsonTrees.read(page.body());
            json.path("results").forEach(result -> results.append(result).append('\n'));
            next = json.path("next").asInt();
        }
        return results.toString();
    }

    /** Checks that each sample is listed whole, and once; at least {@code least} times. */
    private void check(String why, String listed, int least) {
        for (int i = 1; i <= mScene.samplesPerStep(); i++) {
            String sample = "sample-" + i;
            String text =
                    StandinEndpoint.completeText(sample, mScene.eventsPerSample())
                            .replace("\n", "\\n");
            int count = count(listed, "\"id\":\"" + sample + "\"");
            assertThat(why + ": " + listed, count, anyOf(is(least), is(1)));
            assertThat(why + ": " + listed, count(listed, "\"text\":\"" + text + "\""), is(count));
        }
    }

    private static int count(String text, String part) {
        return (text.length() - text.replace(part, "").length()) / part.length();
    }
}
