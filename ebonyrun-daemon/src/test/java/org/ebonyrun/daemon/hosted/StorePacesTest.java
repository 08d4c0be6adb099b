package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class StorePacesTest {
    private static EntryLimits limits(long config, long leaving, long contact) {
        return new EntryLimits(3_000, 8_000, 120_000, config, leaving, contact);
    }

    @ParameterizedTest
    @CsvSource({"2000, 2000, 3000", "3000, 3000, 4000", "14000, 5000, 9000", "800, 700, 1000"})
    void changesAreHeardWithinTheLimits(long config, long leaving, long contact) {
        EntryLimits limits = limits(config, leaving, contact);

        assertThat(gather(StorePaces.operator(limits, true)), lessThan(config / 2));
        assertThat(gather(StorePaces.operator(limits, false)), is(0L));
        assertThat(gather(StorePaces.endpoints(limits, true)), lessThan(leaving * 3 / 4));
        assertThat(gather(StorePaces.endpoints(limits, false)), lessThan(leaving * 3 / 4));
        assertThat(StorePaces.steps(limits, false).waitMillis(), lessThan(contact));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void longerLimitsCostFewerCalls(boolean idle) {
        StoreWatch.Pace tight = StorePaces.endpoints(limits(2_000, 2_000, 3_000), idle);
        StoreWatch.Pace loose = StorePaces.endpoints(limits(3_000, 3_000, 4_000), idle);

        assertThat(tight.waitMillis(), lessThan(loose.waitMillis()));
        assertThat(tight.gatherNanos() <= loose.gatherNanos(), is(true));
    }

    @Test
    void anEntryThatOwnsNothingGathersForLonger() {
        EntryLimits limits = limits(3_000, 3_000, 4_000);

        long busy = gather(StorePaces.endpoints(limits, false));
        assertThat(busy, lessThan(gather(StorePaces.endpoints(limits, true))));
    }

    private static long gather(StoreWatch.Pace pace) {
        return Nanos.toMillis(pace.gatherNanos());
    }
}
