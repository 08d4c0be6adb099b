package org.ebonyrun.core.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.scaling.ScalingOrder.Reason;
import org.ebonyrun.core.scaling.ScalingSimulation.Answer;
import org.ebonyrun.core.scaling.ScalingSimulation.Received;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceScalerTest {
    private static final int BOOT_SECONDS = 8;
    private static final int HOLD_SECONDS = 15 + 2 * BOOT_SECONDS;
    private static final int SLACK_SECONDS = 5;
    private static final ScalingBounds BOUNDS =
            new ScalingBounds(1, 10, BOOT_SECONDS * Nanos.PER_SECOND);
    private static final FailureDomain FIRST = ScalingSimulation.domain(0);
    private static final FailureDomain SECOND = ScalingSimulation.domain(1);

    private ScalingSimulation mSim = new ScalingSimulation(BOUNDS, 3, 4);

    private static List<Integer> counts(List<Received> orders) {
        return orders.stream().map(received -> received.order().to()).toList();
    }

    private static List<Reason> reasons(List<Received> orders) {
        return orders.stream().map(received -> received.order().reason()).toList();
    }

    private int places() {
        return mSim.serving() * ScalingSimulation.SLOTS;
    }

    @Test
    void nothingIsOrderedWhileTheNumberSuits() {
        mSim.run(200, 25);

        assertThat(mSim.mReceived, is(empty()));
    }

    @Test
    void endpointsAreGivenBackOnlyAfterTheHoldTimeAndDownToTheMinimum() {
        mSim.run(HOLD_SECONDS, 0);
        assertThat(mSim.mReceived, is(empty()));

        mSim.run(2, 0);
        assertThat(counts(mSim.mReceived), is(List.of(1, 1, 1)));
        assertThat(reasons(mSim.mReceived), everyItem(is(Reason.QUIET)));
    }

    @Test
    void aStepOfTheDemandIsOrderedAtOnceAndServedAfterTheBootTime() {
        mSim.run(10, 20);
        mSim.run(1, 60);
        assertThat(mSim.mReceived, hasSize(3));

        mSim.run(BOOT_SECONDS, 60);
        assertThat(0.75 * places(), is(greaterThanOrEqualTo(60.0)));
        assertThat(mSim.mReceived, hasSize(3));
    }

    @Test
    void demandFitsWithoutTheLargestFailureDomain() {
        mSim.run(60, 50);

        int largest = mSim.mOrdered.values().stream().mapToInt(count -> count).max().orElse(0);
        assertThat(places() - largest * ScalingSimulation.SLOTS, is(greaterThanOrEqualTo(50)));
        assertThat(largest, is(lessThanOrEqualTo(7)));
    }

    @Test
    void aSteadyRiseIsServedWithoutEndpointsThatComeTooLate() {
        double demand = 20;
        for (int second = 0; second < 50; second++) {
            demand += 1;
            mSim.step(demand);
            if (second > 10) {
                assertThat("at " + mSim.mSecond, (double) places(), greaterThanOrEqualTo(demand));
            }
        }
    }

    @Test
    void aSteepRiseIsOrderedForBeforeThePlacesAreTaken() {
        mSim.run(10, 20);
        double demand = 20;
        for (int second = 0; second < 16; second++) {
            demand += 4;
            mSim.step(demand);
        }

        assertThat((double) places(), is(greaterThanOrEqualTo(demand)));
    }

    @Test
    void whatMadeUpForALostDomainIsNotGivenBackSoonAfterItsReturn() {
        mSim.run(HOLD_SECONDS + 5, 30);
        mSim.mLost.add(FIRST);
        mSim.run(BOOT_SECONDS + SLACK_SECONDS + 4, 30);
        assertThat(mSim.mScaler.counts().get(SECOND), is(greaterThan(4)));
        mSim.mLost.clear();
        int before = mSim.mReceived.size();
        mSim.run(HOLD_SECONDS - 10, 30);
        assertThat(reasons(mSim.mReceived.subList(before, mSim.mReceived.size())), is(empty()));
    }

    @Test
    void nothingIsGivenBackWhileOrderedEndpointsMayStillCome() {
        mSim.run(2, 60);
        mSim.run(HOLD_SECONDS - 1, 10);
        int before = mSim.mReceived.size();
        mSim.crash(FIRST, 2);
        mSim.run(BOOT_SECONDS + SLACK_SECONDS, 10);
        assertThat(reasons(mSim.mReceived.subList(before, mSim.mReceived.size())), is(empty()));
    }

    @Test
    void aRefusedOrderLeavesTheNumberThatWasOrderedBefore() {
        mSim.run(3, 60);
        Map<FailureDomain, Integer> ordered = new HashMap<>(mSim.mOrdered);
        mSim.mAnswer = Answer.REFUSED;
        mSim.run(3, 90);

        assertThat(mSim.mScaler.counts(), is(ordered));
    }

    @Test
    void aBurstIsGivenBackOnceAfterTheHoldTime() {
        mSim.run(40, 20);
        int ordersBefore = mSim.mReceived.size();
        mSim.run(3, 60);
        mSim.run(HOLD_SECONDS - 4, 20);
        assertThat(mSim.mReceived, hasSize(ordersBefore + 3));

        mSim.run(10, 20);
        assertThat(mSim.mReceived, hasSize(ordersBefore + 6));
        mSim.run(200, 20);
        assertThat(mSim.mReceived, hasSize(ordersBefore + 6));
    }

    @Test
    void endpointsThatCrashedAreOrderedAgainWithTheSameNumber() {
        mSim.run(20, 46);
        int ordersBefore = mSim.mReceived.size();
        Map<FailureDomain, Integer> ordered = new HashMap<>(mSim.mOrdered);
        mSim.crash(FIRST, 1);
        mSim.run(BOOT_SECONDS + SLACK_SECONDS, 46);
        assertThat(mSim.mReceived, hasSize(ordersBefore));

        mSim.run(2, 46);
        Received order = mSim.mReceived.get(ordersBefore);
        assertThat(order.order().domain(), is(FIRST));
        assertThat(order.order().to(), is(ordered.get(FIRST)));
        assertThat(order.order().reason(), is(Reason.DEPARTED));
    }

    @Test
    void theOtherDomainsMakeUpForALostOneAndGiveBackAfterItsReturn() {
        mSim.run(5, 30);
        mSim.mLost.add(FIRST);
        mSim.run(BOOT_SECONDS + SLACK_SECONDS + 3, 30);
        mSim.run(BOOT_SECONDS, 30);
        assertThat(0.75 * places(), is(greaterThanOrEqualTo(30.0)));
        long repeats =
                mSim.mReceived.stream().filter(r -> r.order().domain().equals(FIRST)).count();
        assertThat(repeats, is(lessThanOrEqualTo(3L)));

        mSim.mLost.clear();
        mSim.run(2 * HOLD_SECONDS, 30);
        int total = mSim.mOrdered.values().stream().mapToInt(count -> count).sum();
        assertThat(total, is(both(greaterThanOrEqualTo(12)).and(lessThanOrEqualTo(15))));
    }

    @Test
    void ordersForALostDomainAreRepeatedRarelyAndNeverAddedTo() {
        mSim.run(5, 46);
        mSim.mLost.add(FIRST);
        mSim.run(600, 46);

        List<Received> first =
                mSim.mReceived.stream().filter(r -> r.order().domain().equals(FIRST)).toList();
        assertThat(first.size(), is(both(greaterThan(2)).and(lessThan(15))));
        assertThat(counts(first), everyItem(is(lessThanOrEqualTo(6))));
    }

    @Test
    void endpointsOfAReleaseThatComeAndGoChangeNothing() {
        mSim.run(5, 25);
        for (int i = 0; i < 20; i++) {
            mSim.crash(FIRST, 1);
            mSim.mReadyAt.get(FIRST).add(mSim.mSecond + 3);
            mSim.run(5, 25);
        }

        assertThat(mSim.mReceived, is(empty()));
    }

    @ParameterizedTest
    @EnumSource(
            value = Answer.class,
            names = {"LOST", "LATE", "SILENT"})
    void anOrderWithoutReplyIsRepeatedWithItsWholeNumber(Answer answer) {
        mSim.run(5, 20);
        mSim.mAnswer = answer;
        mSim.run(60, 60);
        Map<FailureDomain, List<Integer>> byDomain = new HashMap<>();
        mSim.mReceived.forEach(
                r ->
                        byDomain.computeIfAbsent(r.order().domain(), d -> new ArrayList<>())
                                .add(r.order().to()));

        byDomain.values().forEach(list -> assertThat(list, everyItem(is(list.get(0)))));
        assertThat(mSim.mReceived.size(), is(both(greaterThan(6)).and(lessThan(45))));

        mSim.mAnswer = Answer.DONE;
        mSim.run(9 + BOOT_SECONDS, 60);
        assertThat(0.75 * places(), is(greaterThanOrEqualTo(60.0)));
    }

    @Test
    void anOldOrderThatTakesEffectAfterANewerOneIsCorrected() {
        mSim.run(5, 30);
        mSim.mAnswer = Answer.LATE;
        mSim.mLateSeconds = 20;
        mSim.run(1, 40);
        mSim.mAnswer = Answer.DONE;
        mSim.run(10, 80);
        Map<FailureDomain, Integer> wanted = new HashMap<>(mSim.mScaler.counts());
        mSim.run(12, 80);
        assertThat("the late order took effect", mSim.mOrdered, is(not(wanted)));

        mSim.run(2 * (BOOT_SECONDS + SLACK_SECONDS), 80);
        assertThat(mSim.mOrdered, is(wanted));
    }

    @Test
    void aRefusedOrderWaitsAndIsSentAgain() {
        mSim.run(5, 20);
        mSim.mAnswer = Answer.REFUSED;
        mSim.run(60, 60);
        assertThat(mSim.mReceived.size(), is(both(greaterThan(6)).and(lessThan(24))));
        assertThat(mSim.mScaler.counts().get(FIRST), is(4));

        mSim.mAnswer = Answer.DONE;
        mSim.run(30 + BOOT_SECONDS, 60);
        assertThat(0.75 * places(), is(greaterThanOrEqualTo(60.0)));
    }

    @Test
    void aNewHolderGivesNothingBackBeforeItsOwnHoldTimeAndMeetsTheDemandAtOnce() {
        mSim.run(40, 30);
        mSim.run(5, 70);
        int before = mSim.mReceived.size();
        mSim.mScaler = new ServiceScaler(BOUNDS);
        mSim.run(1, 70);
        int total = mSim.mScaler.counts().values().stream().mapToInt(count -> count).sum();
        assertThat(0.75 * total * ScalingSimulation.SLOTS, is(greaterThanOrEqualTo(70.0)));

        mSim.run(HOLD_SECONDS - 1, 0);
        for (Received received : mSim.mReceived.subList(before, mSim.mReceived.size())) {
            assertThat(received.order().reason(), is(not(Reason.QUIET)));
        }
    }

    @Test
    void aTermOfTheSameProcessBeginsWithoutEarlierOrders() {
        mSim.mAnswer = Answer.SILENT;
        mSim.run(5, 60);
        mSim.mScaler.onTerm();

        assertThat(mSim.mScaler.counts().get(FIRST), is(4));
    }

    @Test
    void oldFiguresGiveNothingBackAndStartTheHoldTimeAgain() {
        mSim.run(HOLD_SECONDS - 1, 0);
        mSim.mComplete = false;
        mSim.run(300, 0);
        mSim.mComplete = true;
        mSim.run(HOLD_SECONDS, 0);
        assertThat(mSim.mReceived, is(empty()));

        mSim.run(2, 0);
        assertThat(mSim.mReceived, hasSize(3));
    }

    @Test
    void oldFiguresThatShowMoreDemandStillRaise() {
        mSim.mComplete = false;
        mSim.run(2, 60);

        assertThat(mSim.mReceived, hasSize(3));
    }

    @Test
    void aChangeOfTheBoundsIsMetAtOnce() {
        mSim.run(5, 25);
        mSim.mScaler.setBounds(new ScalingBounds(5, 10, BOUNDS.bootNanos()));
        mSim.run(1, 25);
        assertThat(counts(mSim.mReceived), is(List.of(5, 5, 5)));

        mSim.mScaler.setBounds(new ScalingBounds(0, 3, BOUNDS.bootNanos()));
        mSim.run(1, 25);
        assertThat(counts(mSim.mReceived.subList(3, 6)), is(List.of(3, 3, 3)));
        assertThat(reasons(mSim.mReceived), everyItem(is(Reason.BOUNDS)));
    }

    @Test
    void aServiceInOneDomainKeepsNoRoomForItsLoss() {
        mSim = new ScalingSimulation(BOUNDS, 1, 4);
        mSim.run(50, 12);

        assertThat(mSim.mReceived, is(empty()));
        assertThat(mSim.mScaler.counts().containsKey(SECOND), is(false));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void underConstantDemandWithNoiseADomainTurnsAtMostOnceAHoldTime(long seed) {
        Random random = new Random(seed);
        double mean = 5 + random.nextInt(75);
        double noise = random.nextDouble(0.1);
        for (int i = 0; i < 1_200; i++) {
            mSim.step(mean * (1 + noise * (2 * random.nextDouble() - 1)));
        }
        Map<FailureDomain, Received> lastTurn = new HashMap<>();
        Map<FailureDomain, Received> last = new HashMap<>();
        for (Received received : mSim.mReceived) {
            FailureDomain domain = received.order().domain();
            Received before = last.put(domain, received);
            if (before == null || isRaise(before) == isRaise(received)) {
                continue;
            }
            Received turn = lastTurn.put(domain, received);
            if (turn != null) {
                assertThat(received.second() - turn.second(), greaterThanOrEqualTo(31L));
            }
            assertThat("a turn at " + received, received.second(), lessThan(3L * HOLD_SECONDS));
        }
        assertThat(places() * 0.75, is(greaterThanOrEqualTo(mean)));
    }

    private static boolean isRaise(Received received) {
        return received.order().to() > received.order().from();
    }

    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112})
    void ordersKeepTheBoundsAndADomainIsNotLoweredSoonAfterItWasRaised(long seed) {
        Random random = new Random(seed);
        Map<FailureDomain, Long> raisedAt = new HashMap<>();
        int seen = 0;
        double demand = 20;
        for (int i = 0; i < 1_000; i++) {
            if (random.nextInt(15) == 0) {
                demand = random.nextInt(200);
            }
            if (random.nextInt(20) == 0) {
                mSim.mAnswer = Answer.values()[random.nextInt(Answer.values().length)];
                mSim.mComplete = random.nextInt(4) > 0;
            }
            if (random.nextInt(60) == 0) {
                mSim.mLost.clear();
                mSim.mLost.add(ScalingSimulation.domain(random.nextInt(6)));
            }
            if (random.nextInt(40) == 0 && !mSim.mReadyAt.get(FIRST).isEmpty()) {
                mSim.crash(FIRST, 1);
            }
            mSim.step(demand);
            for (Received received : mSim.mReceived.subList(seen, mSim.mReceived.size())) {
                ScalingOrder order = received.order();
                assertThat(
                        order.to(), is(both(greaterThanOrEqualTo(1)).and(lessThanOrEqualTo(10))));
                if (order.reason() == Reason.DEMAND) {
                    raisedAt.put(order.domain(), received.second());
                }
                if (order.reason() == Reason.QUIET) {
                    long raised = raisedAt.getOrDefault(order.domain(), -HOLD_SECONDS - 1L);
                    assertThat(received.second() - raised, greaterThanOrEqualTo(31L));
                    assertThat(mSim.mComplete, is(true));
                }
            }
            seen = mSim.mReceived.size();
        }
        mSim.mAnswer = Answer.DONE;
        mSim.mLost.clear();
        mSim.run(30 + BOOT_SECONDS + SLACK_SECONDS, 50);
        assertThat(0.75 * places(), is(greaterThanOrEqualTo(50.0)));
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202, 203, 204, 205, 206, 207, 208})
    void capacityFollowsAStepOfTheDemandWithinTheBootTime(long seed) {
        Random random = new Random(seed);
        int boot = 1 + random.nextInt(20);
        ScalingBounds bounds = new ScalingBounds(0, 30, boot * Nanos.PER_SECOND);
        mSim = new ScalingSimulation(bounds, 2 + random.nextInt(3), 1 + random.nextInt(5));
        mSim.run(1 + random.nextInt(60), random.nextInt(30));
        double demand = 40 + random.nextInt(80);
        mSim.run(boot + 1, demand);

        assertThat(0.75 * places(), is(greaterThanOrEqualTo(demand)));
    }
}
