package org.ebonyrun.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;

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
        mFleet.onStoreAvailable(10 * SECOND);
        mFleet.onRemoved("e", 10 * SECOND);
        mFleet.onTick(11 * SECOND);
        assertThat(servingCount(), is(1));

        mFleet.onTick(12 * SECOND + 1);
        assertThat(servingCount(), is(0));
    }

    @Test
    void anEndpointWhoseRecordReappearsWithinTheGracePeriodStays() {
        mFleet.onRecord(EndpointFixtures.record("e", 4, 1));
        mFleet.onStoreUnavailable();
        mFleet.onStoreAvailable(10 * SECOND);
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

    @Test
    void aNewIncarnationStartsWithoutTheStateOfThePreviousOne() {
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 3, false));
        Endpoint before = mFleet.get("e");
        before.onSent();
        before.onFailure(0);
        mFleet.onRecord(EndpointFixtures.record("e", 200, 4, 1, false));
        Endpoint after = mFleet.get("e");

        assertThat(after, not(sameInstance(before)));
        assertThat(before.isServing(), is(false));
        assertThat(after.activeRequests(), is(0));
        assertThat(after.isAvoided(1), is(false));
        assertThat(after.version(EndpointFixtures.MODEL), is(1));
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
}
