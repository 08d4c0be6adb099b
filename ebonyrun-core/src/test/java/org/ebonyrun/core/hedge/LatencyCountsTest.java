package org.ebonyrun.core.hedge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LatencyCountsTest {
    private final LatencyCounts mCounts = new LatencyCounts();
    private final LatencyCounts mNone = new LatencyCounts();

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 15, 16, 17, 31, 32, 33, 63, 64, 999, 1_000, 32_767, 59_999, 60_000})
    void aLatencyIsRoundedUpByASixteenthOrAMillisecond(long millis) {
        mCounts.add(Nanos.ofMillis(millis));
        long upper = Nanos.ofMillis(millis + Math.max(1, millis / 16));

        assertThat(
                LatencyCounts.quantile(0.99, mCounts, mNone),
                allOf(greaterThan(Nanos.ofMillis(millis)), lessThanOrEqualTo(upper)));
    }

    @Test
    void latenciesBeyondAMinuteCountAsAMinute() {
        mCounts.add(Nanos.ofMillis(60_000));
        long minute = LatencyCounts.quantile(0.5, mCounts, mNone);
        mNone.add(Long.MAX_VALUE);

        assertThat(LatencyCounts.quantile(1, mCounts, mNone), is(minute));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void quantilesOfTwoCountsAreThoseOfAllLatencies(long seed) {
        Random random = new Random(seed);
        LatencyCounts all = new LatencyCounts();
        for (int i = 0; i < 1_000; i++) {
            long nanos = Nanos.ofMillis((long) Math.exp(11 * random.nextDouble()));
            all.add(nanos);
            (random.nextBoolean() ? mCounts : mNone).add(nanos);
        }
        for (double q = 0; q <= 1; q += 0.01) {
            assertThat(
                    LatencyCounts.quantile(q, mCounts, mNone),
                    is(LatencyCounts.quantile(q, all, new LatencyCounts())));
        }
        all.clear();
        assertThat(all.total(), is(0));
    }
}
