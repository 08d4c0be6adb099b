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

/**
 * Runs steps and calls against two entries while failures of the store, the endpoint and the
 * entries are injected in a seeded order. Checks that each step lists every sample complete and
 * once, the same at both entries, and that each call gets its own response.
 */
class HostedSoakTest extends HostedFixture {
    private static final int STEPS = 12;
    private static final int STEPS_WITHOUT_MECHANISM = 5;

    /** A failure or event that is injected before or while a step runs. */
    private enum Disturbance {
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

    // Set -Dsoak.seeds=N to run more seeds.
    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("soak.seeds", 3));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void stepsAreCompleteAndCallsGetTheirOwnResponses(long seed) throws IOException {
        runSteps(seed, STEPS);
    }

    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void stepsAreCompleteWithoutAnySingleMechanism(Mechanism mechanism) throws IOException {
        restartWithout(mechanism);
        runSteps(1, STEPS_WITHOUT_MECHANISM);
    }

    private void runSteps(long seed, int steps) throws IOException {
        Random random = new Random(seed);
        Disturbance[] disturbances = Disturbance.values();
        for (int number = 1; number <= steps; number++) {
            Disturbance first = disturbances[random.nextInt(disturbances.length)];
            Disturbance second = disturbances[random.nextInt(disturbances.length)];
            String step = "soak-" + seed + "-" + number;
            boolean firstEntryFirst = random.nextBoolean();
            String scenario = "step " + step + " with " + first + " and " + second;
            injectBefore(first, random);
            injectBefore(second, random);
            submit(step, number, firstEntryFirst);
            call();
            boolean ended = injectDuring(first, step) | injectDuring(second, step);
            clearFaults();
            String listed = ended ? listed(mFirstFront, step) : readResults(mFirstFront, step);
            checkSamples(scenario, listed, ended ? 0 : 1);
            String other = ended ? listed(mSecondFront, step) : readResults(mSecondFront, step);
            checkSamples(scenario, other, ended ? 0 : 1);
            // Results whose storing was in progress when the step ended may be listed later.
            assertThat(scenario, other, ended ? startsWith(listed) : is(listed));
            // An entry returns every result that the other one has returned before.
            assertThat(scenario, listed(mFirstFront, step), startsWith(other));
            call();
        }
    }

    private void injectBefore(Disturbance disturbance, Random random) {
        switch (disturbance) {
            case STORE_REFUSES_SOME ->
                    mDeployment.platform().setFailureStatus(n -> n % 3 == 0 ? 503 : 0);
            case STORE_LOSES_COMMITS ->
                    mDeployment.platform().dropCommitResponses(1 + random.nextInt(3));
            case STORE_FORGETS_HISTORY -> mDeployment.platform().store().compact();
            case ENDPOINT_REFUSES -> mDeployment.endpoint().rejectNext(1 + random.nextInt(5));
            case STREAM_BREAKS -> mDeployment.endpoint().breakNextAfter(random.nextInt(3));
            default -> {
                // Injected while the step runs.
            }
        }
    }

    /** Submits a step to the entries in turn, as a trainer does, until one has accepted it. */
    private void submit(String step, int number, boolean firstEntryFirst) {
        String body = mDeployment.stepBody(number);
        int status = 0;
        for (int i = 0; i < MAX_TRIES && status != 202; i++) {
            String front = firstEntryFirst == (i % 2 == 0) ? mFirstFront : mSecondFront;
            status = send(front, "POST", mDeployment.stepPath(), step, body).status();
        }
        assertThat(step, status, is(202));
    }

    /** Sends a call and checks that the response echoes its body. */
    private void call() {
        String body = "call-" + ++mCalls;
        String front = mCalls % 2 == 0 ? mFirstFront : mSecondFront;
        HttpResponse response = send(front, "POST", mDeployment.callPath(), body, body);

        assertThat(body, response.status(), is(200));
        assertThat(response.text(), is(body));
    }

    /** Injects a disturbance while a step runs; returns whether it ended the step early. */
    private boolean injectDuring(Disturbance disturbance, String step) throws IOException {
        switch (disturbance) {
            case STORE_REFUSES_ALL -> {
                mDeployment.platform().setFailureStatus(n -> 503);
                call();
                String other = "other-" + step;
                int status =
                        send(
                                        mFirstFront,
                                        "POST",
                                        mDeployment.stepPath(),
                                        other,
                                        mDeployment.stepBody(0))
                                .status();
                assertThat(step, status, is(503));
            }
            case OWNER_CRASHES -> crashOwner(step);
            case STEP_ENDS_EARLY -> {
                sendUntil(
                        HttpResponse::isSuccess,
                        mSecondFront,
                        "DELETE",
                        mDeployment.stepEndPath(step),
                        "");
                return true;
            }
            case VERSION_IS_NAMED -> {
                mVersion++;
                String named = "{\"model\":\"m\",\"version\":" + mVersion + "}";
                mDeployment.platform().put("op/version/m", named);
            }
            case CONFIGURATIONS_FOLLOW -> {
                for (int i = 0; i < 5; i++) {
                    mDeployment.platform().put("op/config", mDeployment.config(++mConfig));
                }
            }
            default -> {
                // Injected before the step was submitted.
            }
        }
        return false;
    }

    /**
     * Stops the step's owner abruptly, removes its owner key as the expiry of its lease would, and
     * starts a new process on its VM.
     */
    private void crashOwner(String step) throws IOException {
        String key = StoreKeys.liveKey(StepId.of(step), StoreKeys.OWNER);
        StandinStore.Entry owner = mDeployment.platform().store().get(key);
        if (owner == null) {
            // The owner has crashed before, or the step is finished.
            return;
        }
        String name = new String(Base64.getDecoder().decode(owner.value()), StandardCharsets.UTF_8);
        String front = formatAddress(freeAddress());
        if (name.startsWith("edge-1/")) {
            mFirstEntry.close();
            mDeployment.platform().remove(key);
            mFirstFront = front;
            mFirstEntry = startEntry("edge-1", front);
        } else {
            mSecondEntry.close();
            mDeployment.platform().remove(key);
            mSecondFront = front;
            mSecondEntry = startEntry("edge-2", front);
        }
        awaitReady(front);
    }

    private void clearFaults() {
        mDeployment.platform().setFailureStatus(n -> 0);
        mDeployment.platform().dropCommitResponses(0);
        mDeployment.endpoint().rejectNext(0);
    }

    /**
     * Returns the results of a step that are listed now. Reads pages up to the first empty one,
     * since a page may hold fewer results than are listed.
     */
    private String listed(String front, String step) {
        StringBuilder results = new StringBuilder();
        int from = 0;
        int next = -1;
        while (next != from) {
            from = Math.max(next, 0);
            String path = mDeployment.resultsPath(step, from);
            HttpResponse page = sendUntil(HttpResponse::isSuccess, front, "GET", path, "");
            JsonNode json = JsonTrees.read(page.body());
            json.path("results").forEach(result -> results.append(result).append('\n'));
            next = json.path("next").asInt();
        }
        return results.toString();
    }

    /** Checks that each sample is listed {@code minCount} times or once, with its complete text. */
    private void checkSamples(String scenario, String listed, int minCount) {
        for (int i = 1; i <= mDeployment.samplesPerStep(); i++) {
            String sample = "sample-" + i;
            String text =
                    StandinEndpoint.completeText(sample, mDeployment.eventsPerSample())
                            .replace("\n", "\\n");
            int count = count(listed, "\"id\":\"" + sample + "\"");
            assertThat(scenario + ": " + listed, count, anyOf(is(minCount), is(1)));
            assertThat(
                    scenario + ": " + listed,
                    count(listed, "\"text\":\"" + text + "\""),
                    is(count));
        }
    }

    private static int count(String text, String part) {
        return (text.length() - text.replace(part, "").length()) / part.length();
    }
}
