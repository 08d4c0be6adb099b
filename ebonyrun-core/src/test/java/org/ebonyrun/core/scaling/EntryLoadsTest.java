package org.ebonyrun.core.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;

class EntryLoadsTest {
    private static final long SECOND = Nanos.PER_SECOND;
    private static final ServiceName SERVICE = ServiceName.of("s");

    private final EntryLoads mLoads = new EntryLoads();

    private static EntryLoads.Report report(String entry, long revision, double calls) {
        return new EntryLoads.Report(
                entry, revision, Map.of(SERVICE, new ServiceLoad(calls, 0, 0)));
    }

    private void read(long now, EntryLoads.Report... reports) {
        mLoads.onRead(List.of(reports), Set.of(), now);
    }

    @Test
    void nothingIsKnownBeforeTheFirstReading() {
        assertThat(mLoads.isComplete(0), is(false));
        assertThat(mLoads.total(SERVICE), is(ServiceLoad.NONE));
    }

    @Test
    void loadsOfAllEntriesAreAddedAndARemovedRecordCountsAsNoLoad() {
        read(0, report("a", 1, 3), report("b", 2, 4));
        assertThat(mLoads.total(SERVICE).calls(), is(7.0));

        read(SECOND, report("b", 2, 4));
        assertThat(mLoads.total(SERVICE).calls(), is(4.0));
        assertThat(mLoads.isComplete(SECOND), is(true));
    }

    @Test
    void aRecordThatDoesNotChangeGrowsOldCountsOnAndExpires() {
        for (long second = 0; second <= 15; second++) {
            read(second * SECOND, report("a", 1, 3), report("b", 10 + second, 4));
            assertThat(mLoads.isComplete(second * SECOND), is(true));
        }
        read(16 * SECOND, report("a", 1, 3), report("b", 30, 4));
        assertThat(mLoads.isComplete(16 * SECOND), is(false));
        assertThat(mLoads.total(SERVICE).calls(), is(7.0));
        assertThat(mLoads.expired(60 * SECOND), is(empty()));

        read(61 * SECOND, report("a", 1, 3), report("b", 31, 4));
        assertThat(mLoads.expired(61 * SECOND), contains("a"));
    }

    @Test
    void withoutReadingsAllFiguresAreOld() {
        read(0, report("a", 1, 3));
        assertThat(mLoads.isComplete(6 * SECOND), is(true));
        assertThat(mLoads.isComplete(6 * SECOND + 1), is(false));
        assertThat(mLoads.oldestNanos(9 * SECOND), is(9 * SECOND));
    }

    @Test
    void anUnreadableRecordKeepsItsLastFiguresAndMakesTheTotalIncomplete() {
        read(0, report("a", 1, 3));
        mLoads.onRead(List.of(), Set.of("a"), 2 * SECOND);
        assertThat(mLoads.total(SERVICE).calls(), is(3.0));

        mLoads.onRead(List.of(), Set.of("a", "new"), 3 * SECOND);
        assertThat(mLoads.isComplete(3 * SECOND), is(false));
        assertThat(mLoads.size(), is(2));
    }

    @Test
    void theTimeOfASampleIsWeightedByTheRunningSamples() {
        ServiceLoad sum = new ServiceLoad(1, 9, 2).plus(new ServiceLoad(1, 1, 12));

        assertThat(sum.secondsPerSample(), is(closeTo(3, 1e-9)));
        assertThat(new ServiceLoad(0, 0, 2).plus(ServiceLoad.NONE).secondsPerSample(), is(2.0));
    }
}
