package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.platform.standin.StandinEndpoint;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A call that crashes endpoints gets no more of them, at whichever entry it comes again. */
class CrashingCallTest extends HostedFixture {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int ENDPOINTS = 5;
    private static final int CRASHES = 3;
    private static final int MORE_RETRIES = 3;
    private static final int REPEATS = 40;
    private static final String SAFE = "/call/crash";
    private static final String UNSAFE = "/pay/crash";

    private final List<StandinEndpoint> mEndpoints = new ArrayList<>();

    @BeforeEach
    void startEndpoints() throws IOException {
        mEndpoints.add(mDeployment.endpoint());
        for (int i = 2; i <= ENDPOINTS; i++) {
            mEndpoints.add(mDeployment.startEndpoint("i-" + i, freeAddress()));
        }
        restart();
    }

    private int crashes() {
        return mEndpoints.stream().mapToInt(endpoint -> endpoint.crashes().size()).sum();
    }

    private HttpResponse sendCrashing(String front, String target, String id) {
        return send(front, "POST", target, id, "body");
    }

    /** Sends a blocked call; again if the first was a trial, which no other follows at once. */
    private HttpResponse sendBlocked(String front, String target) {
        HttpResponse response = sendCrashing(front, target, "blocked");
        return response.status() == BAD_GATEWAY
                ? sendCrashing(front, target, "blocked-again")
                : response;
    }

    @ParameterizedTest
    @ValueSource(strings = {SAFE, UNSAFE})
    void aCallThatCrashedThreeEndpointsReachesThreeMoreAtMost(String target) {
        mEndpoints.forEach(endpoint -> endpoint.crashOn(target));
        for (int i = 0; i < REPEATS; i++) {
            String front = i % 2 == 0 ? mFirstFront : mSecondFront;
            HttpResponse response = sendCrashing(front, target, "crash-" + i);
            assertThat(response.isSuccess(), is(false));
        }

        assertThat(crashes(), greaterThanOrEqualTo(CRASHES));
        assertThat(crashes(), lessThanOrEqualTo(CRASHES + MORE_RETRIES));
        HttpResponse refused = sendBlocked(mSecondFront, target);
        assertThat(refused.status(), is(UNAVAILABLE));
        String retryAfter = refused.headers().first("Retry-After").orElse("0");
        assertThat(Double.parseDouble(retryAfter), greaterThan(0.0));
    }

    @Test
    void anEntryThatStartsLaterDoesNotSendItEither() throws IOException {
        mEndpoints.forEach(endpoint -> endpoint.crashOn(SAFE));
        for (int i = 0; i < REPEATS; i++) {
            sendCrashing(mFirstFront, SAFE, "crash-" + i);
        }
        int before = crashes();
        String front = formatAddress(freeAddress());
        try (HostedEntry ignored = startEntry("edge-3", front)) {
            awaitReady(front);
            assertThat(sendBlocked(front, SAFE).status(), is(UNAVAILABLE));
        }

        assertThat(crashes(), lessThanOrEqualTo(before + 1));
    }

    // Review case 7: a reset of connections is no crash.
    @Test
    void likeCallsWhoseConnectionsWereResetAtOnceAreServedAgain() {
        mEndpoints.forEach(endpoint -> endpoint.crashOn(UNSAFE));
        for (int i = 0; i < REPEATS && crashes() < 2 * CRASHES; i++) {
            sendCrashing(mFirstFront, UNSAFE, "reset-" + i);
        }
        mEndpoints.forEach(endpoint -> endpoint.crashOn(""));
        HttpResponse response = sendCrashing(mFirstFront, UNSAFE, "later");
        for (int i = 0; i < 50 * MAX_TRIES && !response.isSuccess(); i++) {
            send(mFirstFront, "POST", mDeployment.callPath(), "look-" + i, "");
            response = sendCrashing(mFirstFront, UNSAFE, "later-" + i);
        }

        assertThat(response.status(), is(200));
    }

    @Test
    void otherCallsAreServedMeanwhile() {
        mEndpoints.forEach(endpoint -> endpoint.crashOn(SAFE));
        for (int i = 0; i < REPEATS; i++) {
            sendCrashing(mFirstFront, SAFE, "crash-" + i);
        }

        sendUntil(HttpResponse::isSuccess, mFirstFront, "POST", mDeployment.callPath(), "look");
        HttpResponse other = send(mFirstFront, "POST", SAFE, "other-body", "another body");
        assertThat(other.status(), is(502));
    }

    @Test
    void anEntryActsAloneWhileTheStoreIsUnavailableAndTellsTheOthersAfterwards() {
        mDeployment.platform().setFailureStatus(request -> UNAVAILABLE);
        mEndpoints.forEach(endpoint -> endpoint.crashOn(SAFE));
        for (int i = 0; i < REPEATS; i++) {
            sendCrashing(mFirstFront, SAFE, "crash-" + i);
        }
        assertThat(crashes(), lessThanOrEqualTo(CRASHES + MORE_RETRIES));

        mDeployment.platform().setFailureStatus(request -> 0);
        awaitTrue(
                () -> !mDeployment.platform().store().range(StoreKeys.CRASH_PREFIX, "").isEmpty());
        int before = crashes();
        for (int i = 0; i < REPEATS; i++) {
            sendCrashing(mSecondFront, SAFE, "second-" + i);
        }
        assertThat(crashes() - before, lessThanOrEqualTo(MORE_RETRIES));
    }

    @Test
    void aCallThatIsAnsweredBetweenIsNotBlocked() {
        for (int round = 0; round < REPEATS; round++) {
            mEndpoints.forEach(endpoint -> endpoint.crashOn(UNSAFE));
            sendCrashing(mFirstFront, UNSAFE, "first-" + round);
            sendCrashing(mFirstFront, UNSAFE, "second-" + round);
            mEndpoints.forEach(endpoint -> endpoint.crashOn(""));
            HttpResponse response = sendCrashing(mFirstFront, UNSAFE, "answered-" + round);
            assertThat(response.status(), is(200));
        }
        assertThat(crashes(), is(2 * REPEATS));
    }
}
