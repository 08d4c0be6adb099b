package org.ebonyrun.core.swap;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.FakeGate;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.RouteTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class SwapMachineTest {
    private static final int ENDPOINTS = 6;
    private static final long TICK = Nanos.ofMillis(50);
    private static final long LOAD_NANOS = Nanos.ofMillis(900);

    /** Fake engines that load for {@link #LOAD_NANOS} after an order. */
    private static final class FakeEngines implements SwapOutputs {
        final List<SwapOrder> mOrders = new ArrayList<>();
        final List<Endpoint> mInspected = new ArrayList<>();
        final Map<String, Integer> mVersions = new HashMap<>();
        final Map<String, Integer> mVersionsBeforeLoad = new HashMap<>();
        final Map<String, Long> mLoadedAt = new HashMap<>();
        final Map<String, Integer> mAcceptedOrders = new HashMap<>();
        final List<Long> mFenced = new ArrayList<>();

        @Override
        public void requestState(Endpoint endpoint) {
            mInspected.add(endpoint);
        }

        @Override
        public void sendOrder(Endpoint endpoint, SwapOrder order) {
            mOrders.add(order);
        }

        @Override
        public void onFenced(long fence) {
            mFenced.add(fence);
        }
    }

    private final Fleet mFleet = Fleet.create();
    private final FakeEngines mEngines = new FakeEngines();
    private SwapMachine mMachine = SwapMachine.create(mFleet, Policy.ALL, mEngines);
    private int mRepliedOrders;
    private int mMaxLoading;

    private void disable(Mechanism mechanism) {
        mMachine = SwapMachine.create(mFleet, Policy.ALL.without(mechanism), mEngines);
        mMachine.onRoutes(routes(), false);
    }

    private static RouteTable routes() {
        return RouteTable.of(
                1, List.of(), Set.of(EndpointFixtures.SERVICE), RouteTable.empty().limits());
    }

    @BeforeEach
    void start() {
        for (int i = 1; i <= ENDPOINTS; i++) {
            mFleet.onRecord(EndpointFixtures.record("e" + i, 4, 1));
            mEngines.mVersions.put("e" + i, 1);
        }
        mMachine.onRoutes(routes(), false);
    }

    /** Advances the time while the engines reply and load. */
    private void run(long from, long to) {
        for (long now = from; now < to; now += TICK) {
            mMachine.onTick(now);
            for (; mRepliedOrders < mEngines.mOrders.size(); mRepliedOrders++) {
                SwapOrder order = mEngines.mOrders.get(mRepliedOrders);
                mEngines.mAcceptedOrders.merge(order.endpoint(), 1, Integer::sum);
                mEngines.mLoadedAt.put(order.endpoint(), now + LOAD_NANOS);
                mEngines.mVersionsBeforeLoad.put(
                        order.endpoint(), mEngines.mVersions.get(order.endpoint()));
                mEngines.mVersions.put(order.endpoint(), order.version());
                mMachine.onReply(mFleet.get(order.endpoint()), order, OrderReply.ACCEPTED, now);
            }
            int loading = 0;
            for (Long until : mEngines.mLoadedAt.values()) {
                loading += until > now ? 1 : 0;
            }
            mMaxLoading = Math.max(mMaxLoading, loading);
            for (Endpoint endpoint : List.copyOf(mEngines.mInspected)) {
                mEngines.mInspected.remove(endpoint);
                reportState(endpoint, now);
            }
        }
    }

    private void reportState(Endpoint endpoint, long now) {
        boolean busy = mEngines.mLoadedAt.getOrDefault(endpoint.id(), 0L) > now;
        Map<String, Integer> versions = busy ? mEngines.mVersionsBeforeLoad : mEngines.mVersions;
        int version = versions.get(endpoint.id());
        EndpointState state =
                new EndpointState(
                        Map.of(EndpointFixtures.MODEL, version),
                        busy,
                        mEngines.mAcceptedOrders.getOrDefault(endpoint.id(), 0),
                        0);
        mMachine.onState(endpoint, state, now);
    }

    @Test
    void theStateOfAnotherLifeOfAnEndpointIsNotBelieved() {
        mFleet.all().forEach(endpoint -> mFleet.onLeaving(endpoint.record()));
        mFleet.onRecord(EndpointFixtures.record("e", 100, 4, 1, false));
        Endpoint endpoint = mFleet.get("e");
        mMachine.onLeaseAcquired(7, 0, 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 4, 0);
        long now = 5 * Nanos.PER_SECOND;
        mMachine.onTick(now);
        assertThat(mEngines.mInspected, is(List.of(endpoint)));

        mMachine.onState(
                endpoint, new EndpointState(Map.of(EndpointFixtures.MODEL, 3), false, 5, 200), now);
        assertThat(mEngines.mOrders, is(empty()));
        assertThat(endpoint.version(EndpointFixtures.MODEL), is(1));

        now += 10 * Nanos.PER_SECOND;
        mMachine.onTick(now);
        mMachine.onTick(now + TICK);
        mMachine.onState(
                endpoint, new EndpointState(Map.of(EndpointFixtures.MODEL, 1), false, 2, 100), now);
        assertThat(mEngines.mOrders.get(0).expectedOrders(), is(2L));
    }

    @Test
    void withoutTheLeaseNoOrderIsSent() {
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        run(0, 5 * Nanos.PER_SECOND);

        assertThat(mEngines.mOrders, is(empty()));
    }

    @Test
    void aNewHolderWaitsForTheQuietPeriodBeforeItsFirstOrder() {
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onLeaseAcquired(7, Nanos.ofMillis(3_000), 0);
        run(0, Nanos.ofMillis(3_000));
        assertThat(mEngines.mOrders, is(empty()));

        run(Nanos.ofMillis(3_000), Nanos.ofMillis(4_000));
        assertThat(mEngines.mOrders.get(0).fence(), is(7L));
    }

    @Test
    void aNewHolderOrdersAtOnceEndpointsWithoutRecentOrdersOfItsPredecessor() {
        OrderAges ages = new OrderAges(Map.of(), Map.of("e1", Nanos.ofMillis(1_000)));
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 2, 2);
        mMachine.onLeaseAcquired(7, Nanos.ofMillis(3_000), ages, 0);

        run(0, Nanos.ofMillis(2_000));
        assertThat(orderedEndpoints(), is(Set.of("e2", "e3", "e4", "e5")));
        run(Nanos.ofMillis(2_000), Nanos.ofMillis(3_500));
        assertThat(orderedEndpoints(), hasItem("e1"));
    }

    @Test
    void aRestartedHolderNeedNotWaitForItsOwnEarlierOrders() {
        OrderAges ages = new OrderAges(Map.of("e1", 0L), Map.of());
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 2, 2);
        mMachine.onLeaseAcquired(7, Nanos.ofMillis(3_000), ages, 0);

        run(0, Nanos.ofMillis(500));
        assertThat(orderedEndpoints(), hasItem("e1"));
    }

    @Test
    void orderAgesPassToTheNextHolderDuringTheQuietPeriod() {
        long quiet = Nanos.ofMillis(3_000);
        long now = Nanos.ofMillis(2_000);
        mMachine.onLeaseAcquired(7, quiet, 0);
        assertThat(mMachine.orderAges(now), is(Optional.empty()));

        OrderAges before =
                new OrderAges(Map.of("e1", Nanos.ofMillis(500)), Map.of("e1", 0L, "e2", now));
        mMachine.onLeaseAcquired(8, quiet, before.asEarlier(), 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 2, 2);
        run(0, now);
        OrderAges ages = mMachine.orderAges(now).orElseThrow();

        assertThat(ages.earlier(), is(Map.of("e1", now)));
        assertThat(ages.own().keySet(), is(orderedEndpoints()));
        assertThat(ages.asEarlier().earlier().get("e1"), is(now));
    }

    private Set<String> orderedEndpoints() {
        return mEngines.mOrders.stream().map(SwapOrder::endpoint).collect(Collectors.toSet());
    }

    @Test
    void enginesLoadEveryOtherVersionAndNeverFallBelowTheMinimum() {
        mMachine.onLeaseAcquired(7, 0, 0);
        long now = 0;
        for (int version = 2; version <= 7; version++) {
            mMachine.onVersionNamed(EndpointFixtures.MODEL, version, now);
            mMachine.onStep(EndpointFixtures.MODEL, version, version - 1);
            run(now, now + 4 * Nanos.PER_SECOND);
            now += 4 * Nanos.PER_SECOND;
            for (Endpoint endpoint : mFleet.serving(EndpointFixtures.SERVICE)) {
                assertThat(endpoint.version(EndpointFixtures.MODEL) >= version - 1, is(true));
            }
        }

        assertThat(mEngines.mOrders.size(), lessThanOrEqualTo(6 * ENDPOINTS / 2));
        assertThat(mMaxLoading, lessThanOrEqualTo(2));
    }

    private void nameSecondVersionAndRun(int minVersion) {
        mMachine.onLeaseAcquired(7, 0, 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 2, minVersion);
        run(0, 6 * Nanos.PER_SECOND);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void halfOfTheEnginesLoadUnlessPoolsAreDisabled(boolean pools) {
        if (!pools) {
            disable(Mechanism.LOAD_POOLS);
        }
        nameSecondVersionAndRun(1);

        assertThat(mEngines.mOrders.size(), is(pools ? ENDPOINTS / 2 : ENDPOINTS));
        assertThat(mMaxLoading, lessThanOrEqualTo(2));
    }

    @Test
    void withoutLoadLimitAllOutdatedEnginesLoadAtOnce() {
        disable(Mechanism.LOAD_LIMIT);
        nameSecondVersionAndRun(2);

        assertThat(mMaxLoading, is(ENDPOINTS));
        assertThat(mEngines.mOrders.size(), is(ENDPOINTS));
    }

    @Test
    void enginesBelowTheMinimumVersionLoadFirst() {
        String other = "a-model";
        for (Endpoint endpoint : mFleet.serving(EndpointFixtures.SERVICE)) {
            endpoint.observeVersion(other, 1);
        }
        mMachine.onLeaseAcquired(7, 0, 0);
        mMachine.onVersionNamed(other, 2, 0);
        mMachine.onStep(other, 2, 1);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 3, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 3, 2);
        mMachine.onTick(Nanos.PER_SECOND);
        for (Endpoint endpoint : List.copyOf(mEngines.mInspected)) {
            reportState(endpoint, Nanos.PER_SECOND);
        }

        assertThat(mEngines.mOrders.get(0).model(), is(EndpointFixtures.MODEL));
    }

    @Test
    void allEnginesLoadIfOnlyTheNewestVersionIsAccepted() {
        mMachine.onLeaseAcquired(7, 0, 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 2, 2);
        run(0, 6 * Nanos.PER_SECOND);

        assertThat(mEngines.mOrders.size(), is(ENDPOINTS));
    }

    @Test
    void anOrderCarriesTheCountOfOrdersAcceptedBefore() {
        mMachine.onLeaseAcquired(7, 0, 0);
        mEngines.mAcceptedOrders.put("e1", 5);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 2, 2);
        run(0, 6 * Nanos.PER_SECOND);

        for (SwapOrder order : mEngines.mOrders) {
            assertThat(order.expectedOrders(), is(order.endpoint().equals("e1") ? 5L : 0L));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = OrderReply.class,
            names = {"UNKNOWN", "CONFLICT", "REFUSED"})
    void anOrderWithoutEffectIsSentAgain(OrderReply reply) {
        mMachine.onLeaseAcquired(7, 0, 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        long now = 0;
        for (; mEngines.mOrders.isEmpty(); now += TICK) {
            mMachine.onTick(now);
            for (Endpoint endpoint : List.copyOf(mEngines.mInspected)) {
                mEngines.mInspected.remove(endpoint);
                reportState(endpoint, now);
            }
        }
        SwapOrder first = mEngines.mOrders.get(0);
        mMachine.onReply(mFleet.get(first.endpoint()), first, reply, now);
        mRepliedOrders = mEngines.mOrders.size();
        run(now, now + 5 * Nanos.PER_SECOND);

        long sentOrders =
                mEngines.mOrders.stream()
                        .filter(order -> order.endpoint().equals(first.endpoint()))
                        .count();
        assertThat(sentOrders, is(2L));
    }

    @Test
    void aFencedOrderIsReportedToTheOutputs() {
        mMachine.onLeaseAcquired(7, 0, 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onTick(Nanos.PER_SECOND);
        Endpoint endpoint = mEngines.mInspected.get(0);
        reportState(endpoint, Nanos.PER_SECOND);
        SwapOrder order = mEngines.mOrders.get(0);
        mMachine.onReply(endpoint, order, OrderReply.FENCED, Nanos.PER_SECOND);

        assertThat(mEngines.mFenced, is(List.of(7L)));
    }

    @Test
    void theReplyToAnEarlierOrderIsIgnored() {
        mMachine.onLeaseAcquired(7, 0, 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        mMachine.onStep(EndpointFixtures.MODEL, 2, 2);
        mMachine.onTick(Nanos.PER_SECOND);
        Endpoint endpoint = mEngines.mInspected.get(0);
        reportState(endpoint, Nanos.PER_SECOND);
        SwapOrder first = mEngines.mOrders.get(0);
        // A stream shows the loaded version before the reply to the order arrives.
        endpoint.observeVersion(EndpointFixtures.MODEL, 2);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 3, Nanos.PER_SECOND);
        mMachine.onStep(EndpointFixtures.MODEL, 3, 3);
        long now = Nanos.PER_SECOND;
        do {
            now += TICK;
            mMachine.onTick(now);
            mFleet.serving(EndpointFixtures.SERVICE).stream()
                    .filter(other -> other != endpoint)
                    .forEach(other -> other.observeVersion(EndpointFixtures.MODEL, 3));
        } while (mEngines.mInspected.stream().filter(endpoint::equals).count() < 2);
        mMachine.onReply(endpoint, first, OrderReply.HOLDS, now);

        assertThat(endpoint.version(EndpointFixtures.MODEL), is(2));
        mEngines.mVersions.put(endpoint.id(), 2);
        reportState(endpoint, now);
        assertThat(mEngines.mOrders.get(mEngines.mOrders.size() - 1).version(), is(3));
    }

    @Test
    void anOrderThatALimitDoesNotAdmitYetIsSentLaterWithoutAnotherRequestForTheState() {
        List<FakeGate> gates = new ArrayList<>();
        for (Endpoint endpoint : mFleet.all()) {
            FakeGate gate = new FakeGate();
            gate.mAdmitted = 1;
            gates.add(gate);
            endpoint.setGate(gate);
        }
        mMachine.onLeaseAcquired(1, 0, 0);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 2, 0);
        run(0, Nanos.ofMillis(3_000));
        assertThat(mEngines.mOrders, empty());
        assertThat(gates.stream().allMatch(gate -> gate.mAdmitted >= 0), is(true));

        gates.forEach(gate -> gate.mAdmitted += 1);
        int waiting = (int) gates.stream().filter(gate -> gate.mAdmitted == 1).count();
        mMachine.onTick(Nanos.ofMillis(3_000));

        assertThat(mEngines.mOrders.size(), is(waiting));
        assertThat(mEngines.mInspected, empty());
    }
}
