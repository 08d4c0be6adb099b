package org.ebonyrun.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FleetTest {
    private static final long SECOND = Nanos.PER_SECOND;

    private final Fleet mFleet = Fleet.create();

    private int servingCount() {
        return mFleet.serving(EndpointFixtures.SERVICE).size();
    }

    @Test
    void anEndpointIsRemovedAtOnceWithItsRecordWhileTheStoreIsAvailable() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        mFleet.onRemoved("e", SECOND);

        assertThat(servingCount(), is(0));
    }

    @Test
    void anEndpointWhoseRecordExpiredInAnOutageIsKeptForTheGracePeriod() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        mFleet.onStoreUnavailable();
        mFleet.onStoreAvailable(true, 10 * SECOND);
        mFleet.onRemoved("e", 10 * SECOND);
        mFleet.onTick(11 * SECOND);
        assertThat(servingCount(), is(1));

        mFleet.onTick(12 * SECOND + 1);
        assertThat(servingCount(), is(0));
    }

    // Review case 14.
    @Test
    void anEndpointWhoseRecordIsMissingAfterAnOutageWithoutExpiryIsRemovedAtOnce() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        mFleet.onStoreUnavailable();
        mFleet.onStoreAvailable(false, 10 * SECOND);
        mFleet.onRemoved("e", 10 * SECOND);

        assertThat(servingCount(), is(0));
    }

    @Test
    void anOutageWithoutExpiryNeitherEndsNorExtendsTheGracePeriodOfAnEarlierOne() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        mFleet.onRecord(EndpointFixtures.record("f", 4, 1));
        mFleet.onStoreUnavailable();
        mFleet.onStoreAvailable(true, 10 * SECOND);
        mFleet.onRemoved("e", 10 * SECOND);
        mFleet.onStoreUnavailable();
        mFleet.onStoreAvailable(false, 11 * SECOND);
        mFleet.onRemoved("f", 11 * SECOND);
        mFleet.onTick(11 * SECOND);
        assertThat(servingCount(), is(2));
        mFleet.onTick(12 * SECOND);

        assertThat(servingCount(), is(0));
    }

    @ParameterizedTest
    @CsvSource({"3, false", "2399, false", "2400, true", "60000, true"})
    void recordsExpireOnlyInOutagesOfTwoHeartbeatsAndMore(long silenceMillis, boolean expected) {
        long silence = Nanos.ofMillis(silenceMillis);

        assertThat(RecordExpiry.mayHaveExpired(silence, Nanos.ofMillis(1_200)), is(expected));
    }

    @Test
    void anEndpointWhoseRecordReappearsWithinTheGracePeriodStays() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        mFleet.onStoreUnavailable();
        mFleet.onStoreAvailable(true, 10 * SECOND);
        mFleet.onSnapshot(List.of(), 10 * SECOND);
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        mFleet.onTick(20 * SECOND);

        assertThat(servingCount(), is(1));
    }

    @Test
    void aDrainingEndpointIsNotServing() {
        mFleet.onRecord(EndpointFixtures.record("e", 0, 4, 1, true));

        assertThat(servingCount(), is(0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"record", "removal", "removal in an outage", "snapshot"})
    void anEndpointThatAnnouncedThatItLeavesNeverServesAgain(String event) {
        EndpointRecord record = EndpointFixtures.record("e", 100, 4, 1, false);
        mFleet.onRecord(record);
        assertThat(mFleet.onLeaving(record), is(true));
        assertThat(mFleet.onLeaving(record), is(false));
        switch (event) {
            case "removal" -> mFleet.onRemoved("e", SECOND);
            case "removal in an outage" -> {
                mFleet.onStoreUnavailable();
                mFleet.onRemoved("e", SECOND);
            }
            case "snapshot" -> mFleet.onSnapshot(List.of(), SECOND);
            default -> assertThat(servingCount(), is(0));
        }
        mFleet.onRecord(record);

        assertThat(servingCount(), is(0));
    }

    @Test
    void aLaterIncarnationOfAnEndpointThatLeftServes() {
        EndpointRecord record = EndpointFixtures.record("e", 100, 4, 1, false);
        mFleet.onRecord(record);
        mFleet.onLeaving(record);
        mFleet.onRecord(EndpointFixtures.record("e", 200, 4, 1, false));
        assertThat(servingCount(), is(1));

        // A late response of the previous incarnation says nothing about the present one.
        mFleet.onLeaving(record);
        assertThat(servingCount(), is(1));
    }

    @Test
    void anAnnouncementThatPrecedesTheRecordHolds() {
        EndpointRecord record = EndpointFixtures.record("e", 4, 1);
        mFleet.onLeaving(record);
        mFleet.onRecord(record);

        assertThat(servingCount(), is(0));
    }

    /** Replays random events beside a plain set of what has announced that it is leaving. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noInterleavingOfRecordsAnnouncementsAndOutagesBringsALeavingEndpointBack(long seed) {
        Random random = new Random(seed);
        Set<String> leaving = new HashSet<>();
        long now = 0;
        for (int i = 0; i < 4_000; i++) {
            now += Nanos.ofMillis(random.nextInt(700));
            EndpointRecord record =
                    EndpointFixtures.record(
                            "e" + random.nextInt(4), random.nextInt(50), 4, 1, false);
            switch (random.nextInt(6)) {
                case 0 -> mFleet.onRemoved(record.id(), now);
                case 1 -> {
                    if (mFleet.get(record.id()) != null) {
                        EndpointRecord known = mFleet.get(record.id()).record();
                        mFleet.onLeaving(known);
                        leaving.add(known.id() + "@" + known.incarnation());
                    }
                }
                case 2 -> mFleet.onStoreUnavailable();
                case 3 -> mFleet.onStoreAvailable(random.nextBoolean(), now);
                case 4 -> mFleet.onTick(now);
                default -> mFleet.onRecord(record);
            }
            for (Endpoint endpoint : mFleet.serving(EndpointFixtures.SERVICE)) {
                String name = endpoint.id() + "@" + endpoint.record().incarnation();
                assertThat("seed " + seed + ", event " + i, leaving.contains(name), is(false));
            }
        }
        assertThat(leaving.isEmpty(), is(false));
    }

    @Test
    void aNewIncarnationStartsWithoutTheStateOfThePreviousOne() {
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 3, false));
        Endpoint before = mFleet.get("e");
        before.onSent(0);
        before.onFailure(0);
        mFleet.onRecord(EndpointFixtures.record("e", 200, 4, 1, false));
        Endpoint after = mFleet.get("e");

        assertThat(after, not(sameInstance(before)));
        assertThat(before.isServing(), is(false));
        assertThat(after.activeRequests(), is(0));
        assertThat(after.isAvoided(1), is(false));
        assertThat(after.version(EndpointFixtures.MODEL), is(1));
    }

    @ParameterizedTest
    @CsvSource({"10, true", "20, true", "21, false"})
    void aLimitEndsWithAResponseToARequestThatWasSentAfterItWasLastNamed(
            long sentAt, boolean limited) {
        EndpointRecord record = EndpointFixtures.record("e", 4, 1);
        mFleet.onRecord(record);
        mFleet.onLimitNotice(record, LimitNotice.limitedTo(2), 5, 10);
        mFleet.onLimitNotice(record, LimitNotice.limitedTo(2), 5, 21);

        mFleet.onLimitNotice(record, LimitNotice.UNLIMITED, sentAt, 30);

        assertThat(mFleet.get("e").isLimited(), is(limited));
    }

    @ParameterizedTest
    @CsvSource({"100, true", "200, false"})
    void aLimitOutlivesTheRecordButNotTheIncarnation(long incarnation, boolean limited) {
        EndpointRecord record = EndpointFixtures.record("e", 100, 4, 1, false);
        mFleet.onRecord(record);
        mFleet.onLimitNotice(record, LimitNotice.limitedTo(2), 0, 0);
        mFleet.onRemoved("e", 0);
        mFleet.onRecord(EndpointFixtures.record("e", incarnation, 4, 1, false));

        assertThat(servingCount(), is(1));
        assertThat(mFleet.get("e").isLimited(), is(limited));
    }

    @Test
    void aLateRecordOfAnOlderIncarnationChangesNothing() {
        mFleet.onRecord(EndpointFixtures.record("e", 200, 4, 5, false));
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 3, true));

        assertThat(servingCount(), is(1));
        assertThat(mFleet.get("e").version(EndpointFixtures.MODEL), is(5));
    }

    @Test
    void versionsNeverDecreaseWithinAnIncarnation() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 5));
        mFleet.get("e").observeVersion(EndpointFixtures.MODEL, 7);
        mFleet.onRecord(EndpointFixtures.record("e", 4, 6));

        assertThat(mFleet.get("e").version(EndpointFixtures.MODEL), is(7));
    }

    @Test
    void theBackoffGrowsWithEachFailureAndEndsWhenTheEndpointResponds() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        Endpoint endpoint = mFleet.get("e");
        endpoint.onFailure(0);
        assertThat(endpoint.isAvoided(Nanos.ofMillis(399)), is(true));
        assertThat(endpoint.isAvoided(Nanos.ofMillis(400)), is(false));
        endpoint.onFailure(0);
        assertThat(endpoint.isAvoided(Nanos.ofMillis(799)), is(true));
        endpoint.onReachable();
        assertThat(endpoint.isAvoided(1), is(false));
    }

    @Test
    void aRecordOfAnEarlierLifeDoesNotKeepAnExpiredEndpoint() {
        mFleet.onRecord(EndpointFixtures.record("e", 200, 4, 1, false));
        mFleet.onStoreUnavailable();
        mFleet.onStoreAvailable(true, 10 * SECOND);
        mFleet.onRemoved("e", 10 * SECOND);
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 1, false));
        mFleet.onTick(13 * SECOND);

        assertThat(servingCount(), is(0));
    }

    @Test
    void anEndpointThatStartsAgainUnderItsIdHasNothingOfItsEarlierLife() {
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 3, false));
        Endpoint earlier = mFleet.get("e");
        EndpointRecord earlierRecord = earlier.record();
        earlier.recordLatency(SECOND, SECOND);
        earlier.onCallSent(SECOND);
        earlier.onFailure(SECOND);
        earlier.setLoading(true);
        earlier.observeVersion(EndpointFixtures.MODEL, 7);
        mFleet.onLeaving(earlierRecord);
        mFleet.onLimitNotice(earlierRecord, LimitNotice.limitedTo(5), SECOND, SECOND);
        mFleet.onRecord(EndpointFixtures.record("e", 200, 4, 3, false));
        Endpoint later = mFleet.get("e");

        assertThat(later, is(not(sameInstance(earlier))));
        assertThat(earlier.isServing(), is(false));
        assertThat(later.isServing(), is(true));
        assertThat(later.latencyNanos(), is(0.0));
        assertThat(later.activeRequests(), is(0));
        assertThat(later.requestCount(), is(0L));
        assertThat(later.isAvoided(SECOND), is(false));
        assertThat(later.isLoading(), is(false));
        assertThat(later.isLimited(), is(false));
        assertThat(later.version(EndpointFixtures.MODEL), is(3));
    }

    @Test
    void lateAnnouncementsOfAnEarlierLifeChangeNothing() {
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 3, false));
        EndpointRecord earlier = mFleet.get("e").record();
        mFleet.onRecord(EndpointFixtures.record("e", 200, 4, 3, false));
        mFleet.onLeaving(earlier);
        mFleet.onLimitNotice(earlier, LimitNotice.limitedTo(5), 0, SECOND);
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 9, true));

        Endpoint later = mFleet.get("e");
        assertThat(later.isServing(), is(true));
        assertThat(later.isLimited(), is(false));
        assertThat(later.version(EndpointFixtures.MODEL), is(3));
    }
}
