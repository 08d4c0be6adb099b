package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.VirtualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CrashRecordsTest {
    private static final CallFingerprint CALL = new CallFingerprint("c");

    private final CrashRecords mRecords = new CrashRecords();

    private static CallFingerprint fingerprint(
            String method, String host, String target, String body) {
        return CallFingerprint.of(method, host, target, body.getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource({
        "GET, h, /p, b, false", "POST, i, /p, b, false", "POST, h, /q, b, false",
        "POST, h, /p, c, false", "POST, hp, /, b, false", "POST, h, /p, b, true"
    })
    void callsThatAskForTheSameHaveOneFingerprint(
            String method, String host, String target, String body, boolean same) {
        CallFingerprint other = fingerprint(method, host, target, body);

        assertThat(other.equals(fingerprint("POST", "h", "/p", "b")), is(same));
    }

    @ParameterizedTest
    @CsvSource({"'a,b', false", "'a,b,a', false", "'a,b,c', true"})
    void aCallIsBlockedAfterThreeDifferentEndpoints(String endpoints, boolean blocked) {
        for (String endpoint : endpoints.split(",")) {
            mRecords.onCrash(CALL, endpoint, 0, 0);
        }

        assertThat(mRecords.isBlocked(CALL), is(blocked));
        assertThat(mRecords.isBlocked(new CallFingerprint("other")), is(false));
    }

    @ParameterizedTest
    @CsvSource({"a, true", "'a,a', true", "'a,b', false"})
    void aCallThatOneMoreEndpointMayBlockIsNotRetried(String endpoints, boolean mayRetry) {
        for (String endpoint : endpoints.split(",")) {
            mRecords.onCrash(CALL, endpoint, 0, 0);
        }

        assertThat(mRecords.mayRetry(CALL), is(mayRetry));
    }

    @ParameterizedTest
    @CsvSource({"e, 6000, 1", "e, 6001, 0", "f, 0, 0"})
    void anEndpointThatCrashesSoonAfterItsCallerLeftCounts(
            String endpoint, long afterMillis, int found) {
        UnansweredCalls calls = new UnansweredCalls();
        calls.add(new UnansweredCalls.Unanswered(CALL, "r", "e", 0));
        long now = Nanos.ofMillis(afterMillis);

        assertThat(calls.onEndpointCrashed(endpoint, now).size(), is(found));
        assertThat(calls.onEndpointCrashed(endpoint, now).size(), is(0));
    }

    @Test
    void crashesThatOtherEntriesSawCount() {
        mRecords.onCrash(CALL, "a", 0, 0);
        mRecords.onShared(CALL, new CrashRecord(Set.of("b", "c"), 0), 0);

        assertThat(mRecords.isBlocked(CALL), is(true));
    }

    @Test
    void aResponseEndsTheRecord() {
        mRecords.onCrash(CALL, "a", 0, 0);
        mRecords.onCrash(CALL, "b", 0, 0);
        assertThat(mRecords.onAnswered(CALL), is(true));
        mRecords.onCrash(CALL, "c", 0, 0);

        assertThat(mRecords.isBlocked(CALL), is(false));
        assertThat(mRecords.onAnswered(new CallFingerprint("other")), is(false));
    }

    @ParameterizedTest
    @CsvSource({"3, 5000", "4, 10000", "5, 20000", "12, 1800000", "30, 1800000"})
    void aBlockedCallIsTriedAfterAPauseThatGrowsWithEachCrash(int crashes, long pauseMillis) {
        for (int i = 1; i <= crashes; i++) {
            mRecords.onCrash(CALL, "e" + i, 2_000 * i, 0);
        }
        long last = 2_000L * crashes;

        assertThat(mRecords.startTrial(CALL, last + pauseMillis - 1).isPresent(), is(false));
        assertThat(mRecords.retryAfterMillis(CALL, last), is(pauseMillis));
        assertThat(mRecords.startTrial(CALL, last + pauseMillis).isPresent(), is(true));
    }

    @Test
    void aCallThatKeepsComingIsTriedNoLater() {
        List.of("a", "b", "c").forEach(endpoint -> mRecords.onCrash(CALL, endpoint, 0, 0));
        for (int i = 0; i < 5_000; i += 100) {
            assertThat(mRecords.startTrial(CALL, i).isPresent(), is(false));
        }

        assertThat(mRecords.startTrial(CALL, 5_000).isPresent(), is(true));
    }

    @Test
    void oneTrialIsOpenAtATime() {
        List.of("a", "b", "c").forEach(endpoint -> mRecords.onCrash(CALL, endpoint, 0, 0));
        CrashRecord claim = mRecords.startTrial(CALL, 6_000).orElseThrow();
        CrashRecords other = new CrashRecords();
        other.onShared(CALL, claim, 0);
        long end = 6_000 + CrashRecords.TRIAL_MILLIS;

        assertThat(other.isBlocked(CALL), is(true));
        assertThat(other.startTrial(CALL, end - 1).isPresent(), is(false));
        assertThat(other.retryAfterMillis(CALL, end - 2_000), is(2_000L));
        assertThat(other.startTrial(CALL, end).isPresent(), is(true));
    }

    @ParameterizedTest
    @CsvSource({"a, 2999, 3", "a, 3000, 2", "other, 3000, 3"})
    void anEndpointThatAnswersLaterHasNotCrashed(String endpoint, long sentMillis, int left) {
        List.of("a", "b", "c").forEach(crashed -> mRecords.onCrash(CALL, crashed, 0, 0));
        mRecords.onAlive(endpoint, Nanos.ofMillis(sentMillis));

        assertThat(mRecords.get(CALL).endpoints().size(), is(left));
        assertThat(mRecords.isBlocked(CALL), is(left == 3));
    }

    @Test
    void aRecordEndsWhenAllItsEndpointsAnswer() {
        List.of("a", "b", "c").forEach(endpoint -> mRecords.onCrash(CALL, endpoint, 0, 0));
        for (String endpoint : List.of("a", "b", "c")) {
            List<CallFingerprint> changed = mRecords.onAlive(endpoint, Nanos.ofMillis(4_000));
            assertThat(changed, is(List.of(CALL)));
        }

        assertThat(mRecords.isEmpty(), is(true));
    }

    @Test
    void anAnswerBeforeTheLatestCrashClearsNothing() {
        mRecords.onCrash(CALL, "a", 0, 0);
        mRecords.onCrash(CALL, "a", 9_000, Nanos.ofMillis(9_000));

        assertThat(mRecords.onAlive("a", Nanos.ofMillis(11_000)), is(List.of()));
    }

    @Test
    void theNumberOfKnownCallsIsBounded() {
        for (int i = 0; i < 2 * CrashRecords.MAX_RECORDS; i++) {
            mRecords.onCrash(new CallFingerprint("c" + i), "a", 0, 0);
        }

        assertThat(mRecords.get(new CallFingerprint("c0")), is((CrashRecord) null));
        CallFingerprint last = new CallFingerprint("c" + (2 * CrashRecords.MAX_RECORDS - 1));
        assertThat(mRecords.get(last) != null, is(true));
    }

    @Test
    void aBlockedCallIsKnownHoweverManyOthersBreak() {
        mRecords.onShared(CALL, new CrashRecord(Set.of("a", "b", "c"), 0), 0);
        for (int i = 0; i < 2 * CrashRecords.MAX_RECORDS; i++) {
            mRecords.onCrash(new CallFingerprint("c" + i), "a", 0, 0);
        }

        assertThat(mRecords.isBlocked(CALL), is(true));
    }

    /**
     * Repeats a call at random entries, each of which sends it to two endpoints unless it is
     * blocked, while records take up to a time to reach the other entries.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void noEntrySendsACallLaterThanRecordsTakeToArriveAfterTheThirdCrash(int seed) {
        long spread = Nanos.ofMillis(2_000);
        Random random = new Random(seed);
        VirtualClock clock = new VirtualClock();
        List<CrashRecords> entries = new ArrayList<>();
        for (int i = 0; i < 28; i++) {
            entries.add(new CrashRecords());
        }
        List<Long> crashes = new ArrayList<>();
        clock.scheduleEvery(
                Nanos.ofMillis(300),
                now -> {
                    CrashRecords entry = entries.get(random.nextInt(entries.size()));
                    for (int send = 0; send < 2 && !entry.isBlocked(CALL); send++) {
                        crashes.add(now);
                        String endpoint = "e" + crashes.size();
                        entry.onCrash(CALL, endpoint, Nanos.toMillis(now), now)
                                .ifPresent(record -> share(clock, random, spread, entries, record));
                    }
                });
        clock.runUntil(Nanos.ofMillis(60_000));

        long third = crashes.get(2);
        long late = crashes.stream().filter(at -> at - third > spread).count();
        assertThat((int) late, lessThanOrEqualTo(0));
    }

    private static void share(
            VirtualClock clock,
            Random random,
            long spread,
            List<CrashRecords> entries,
            CrashRecord record) {
        for (CrashRecords entry : entries) {
            long delay = (long) (random.nextDouble() * spread);
            clock.schedule(clock.now() + delay, now -> entry.onShared(CALL, record, now));
        }
    }
}
