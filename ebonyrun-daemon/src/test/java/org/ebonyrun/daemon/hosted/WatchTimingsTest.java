package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.OptionalDouble;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class WatchTimingsTest {
    private static final long MAX_STORE_WAIT_MILLIS = 30_000;

    private static EntryLimits limits(long config, long leaving, long catchUp) {
        return new EntryLimits(3_000, 8_000, 120_000, config, leaving, catchUp, 400);
    }

    @ParameterizedTest
    @CsvSource({"2000, 2000, 3000", "3000, 3000, 4000", "14000, 5000, 9000", "800, 700, 1000"})
    void changesAreReceivedWithinTheLimits(long config, long leaving, long catchUp) {
        EntryLimits limits = limits(config, leaving, catchUp);

        assertThat(batchMillis(WatchTimings.forOperatorKeys(limits, true)), lessThan(config / 2));
        assertThat(batchMillis(WatchTimings.forOperatorKeys(limits, false)), is(0L));
        assertThat(
                batchMillis(WatchTimings.forEndpointKeys(limits, true)), lessThan(leaving * 3 / 4));
        assertThat(
                batchMillis(WatchTimings.forEndpointKeys(limits, false)),
                lessThan(leaving * 3 / 4));
        assertThat(WatchTimings.forStepKeys(limits, false).waitMillis(), lessThan(catchUp));
        assertThat(WatchTimings.forOperatorKeys(limits, true).mayBeStale(), is(false));
        assertThat(WatchTimings.forEndpointKeys(limits, true).mayBeStale(), is(false));
        assertThat(WatchTimings.forStepKeys(limits, false).mayBeStale(), is(false));
    }

    @ParameterizedTest
    @CsvSource({"1", "1000", "3000", "60000", "3599999996400000"})
    void crashRecordsArriveWithinTheContactLimitWhateverItIs(long contact) {
        StoreWatch.Timing timing = WatchTimings.forCrashRecords(limits(2_000, 2_000, contact));

        assertThat(timing.batchNanos() >= 0, is(true));
        assertThat(batchMillis(timing), lessThan(Math.max(1, contact / 2)));
        assertThat(timing.waitMillis(), lessThan(MAX_STORE_WAIT_MILLIS + 1));
        assertThat(timing.waitMillis() > 0, is(true));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 3_000, 60_000, 3_599_999_996_400_000L})
    void noWatchWaitsLongerThanTheStoreAllows(long limit) {
        EntryLimits limits = limits(limit, limit, limit);
        for (StoreWatch.Timing timing :
                List.of(
                        WatchTimings.forOperatorKeys(limits, true),
                        WatchTimings.forEndpointKeys(limits, true),
                        WatchTimings.forStepKeys(limits, true))) {
            assertThat(timing.waitMillis(), lessThan(MAX_STORE_WAIT_MILLIS + 1));
            assertThat(timing.batchNanos() >= 0, is(true));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void longerLimitsGiveFewerCalls(boolean idle) {
        StoreWatch.Timing tight = WatchTimings.forEndpointKeys(limits(2_000, 2_000, 3_000), idle);
        StoreWatch.Timing loose = WatchTimings.forEndpointKeys(limits(3_000, 3_000, 4_000), idle);

        assertThat(tight.waitMillis(), lessThan(loose.waitMillis()));
        assertThat(tight.batchNanos() <= loose.batchNanos(), is(true));
    }

    @Test
    void idleEntryBatchesLonger() {
        EntryLimits limits = limits(3_000, 3_000, 4_000);

        long busy = batchMillis(WatchTimings.forEndpointKeys(limits, false));
        assertThat(busy, lessThan(batchMillis(WatchTimings.forEndpointKeys(limits, true))));
    }

    private static long batchMillis(StoreWatch.Timing timing) {
        return Nanos.toMillis(timing.batchNanos());
    }

    @ParameterizedTest
    @CsvSource({"5000, 4000, 3000", "1200, 4000, 2000", "60000, 4000, 3000", "2500, 20000, 3000"})
    void strictEntryHearsOfTheConfigurationWithinTheSilence(
            long silence, long catchUp, long config) {
        EntryLimits strict =
                new EntryLimits(
                        3_000,
                        8_000,
                        1,
                        config,
                        1,
                        catchUp,
                        400,
                        true,
                        silence,
                        OptionalDouble.empty(),
                        100,
                        1_200);
        EntryLimits lenient =
                new EntryLimits(
                        3_000,
                        8_000,
                        1,
                        config,
                        1,
                        catchUp,
                        400,
                        false,
                        silence,
                        OptionalDouble.empty(),
                        100,
                        1_200);
        for (boolean idle : new boolean[] {true, false}) {
            StoreWatch.Timing timing = WatchTimings.forOperatorKeys(strict, idle);
            StoreWatch.Timing usual = WatchTimings.forOperatorKeys(lenient, idle);

            assertThat(timing.waitMillis(), lessThan(silence));
            assertThat(timing.waitMillis() <= usual.waitMillis(), is(true));
            assertThat(batchMillis(timing), is(batchMillis(usual)));
        }
    }
}
