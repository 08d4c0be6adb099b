package org.ebonyrun.core.usage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import org.ebonyrun.base.id.WorkspaceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UsageCountsTest {
    private static final WorkspaceName ONE = WorkspaceName.of("one");
    private static final WorkspaceName TWO = WorkspaceName.of("two");
    private static final long WINDOW = 5_000;
    private static final long START = 200 * WINDOW;

    private final UsageCounts mCounts = UsageCounts.create(WINDOW, 300);

    private void send(long call, WorkspaceName workspace, long attempt, long at) {
        mCounts.onSent(call, workspace, attempt, START + at);
    }

    private Map<WorkspaceName, Long> window(long number) {
        return mCounts.counts().of(200 + number);
    }

    @Test
    void aCallCountsOnceInTheWindowOfItsFirstRun() {
        send(1, ONE, 1, 4_999);
        send(1, ONE, 2, 5_000);
        send(2, ONE, 3, 5_000);
        send(3, TWO, 4, 5_001);

        assertThat(window(0), is(Map.of(ONE, 1L)));
        assertThat(window(1), is(Map.of(ONE, 1L, TWO, 1L)));
    }

    @Test
    void anAttemptThatDidNotRunDoesNotCount() {
        send(1, ONE, 1, 0);
        mCounts.onNotRun(1, 1);
        assertThat(window(0), is(Map.of()));
        send(1, ONE, 2, 6_000);
        assertThat(window(1), is(Map.of(ONE, 1L)));
        mCounts.onNotRun(1, 1);
        assertThat(window(1), is(Map.of(ONE, 1L)));
    }

    @Test
    void ofTwoOpenAttemptsTheOneThatRunsCounts() {
        send(1, ONE, 1, 4_000);
        send(1, ONE, 2, 6_000);
        mCounts.onNotRun(1, 1);

        assertThat(window(0), is(Map.of()));
        assertThat(window(1), is(Map.of(ONE, 1L)));
    }

    @Test
    void aSentCallWithoutAnAnswerCounts() {
        send(1, ONE, 1, 0);
        mCounts.onCallEnd(1);
        mCounts.onNotRun(1, 1);

        assertThat(window(0), is(Map.of(ONE, 1L)));
        assertThat(mCounts.openCallCount(), is(0));
    }

    @Test
    void countsAreStoredAfterTheWindowsEndAndNotWithoutCalls() {
        assertThat(mCounts.takeDue(START + 50_000, false), is(false));
        send(1, ONE, 1, 100);
        assertThat(mCounts.takeDue(START + 6_299, false), is(false));
        assertThat(mCounts.takeDue(START + 6_300, false), is(true));
        mCounts.onStored(true, START + 6_310);
        assertThat(mCounts.takeDue(START + 50_000, false), is(false));
    }

    @Test
    void aChangeAfterTheStoringIsStoredAgain() {
        send(1, ONE, 1, 100);
        send(2, ONE, 2, 5_500);
        assertThat(mCounts.takeDue(START + 6_300, false), is(true));
        send(3, ONE, 3, 6_305);
        mCounts.onNotRun(1, 1);
        mCounts.onStored(true, START + 6_310);
        assertThat(mCounts.takeDue(START + 6_400, false), is(true));
        mCounts.onStored(true, START + 6_410);

        assertThat(window(0), is(Map.of()));
        assertThat(window(1), is(Map.of(ONE, 2L)));
        assertThat(mCounts.takeDue(START + 20_000, false), is(false));
    }

    @Test
    void aFailedWriteIsRepeatedAfterAWhile() {
        send(1, ONE, 1, 100);
        assertThat(mCounts.takeDue(START + 6_300, false), is(true));
        assertThat(mCounts.takeDue(START + 6_320, false), is(false));
        mCounts.onStored(false, START + 7_300);

        assertThat(mCounts.takeDue(START + 7_320, false), is(false));
        assertThat(mCounts.takeDue(START + 7_800, false), is(true));
    }

    @Test
    void repeatedFailuresAreRepeatedLessOften() {
        send(1, ONE, 1, 100);
        long at = START + 6_300;
        for (long pause : new long[] {500, 1_000, 2_000, 2_000}) {
            assertThat(mCounts.takeDue(at, false), is(true));
            mCounts.onStored(false, at);
            assertThat(mCounts.takeDue(at + pause - 1, false), is(false));
            at += pause;
        }
        assertThat(mCounts.takeDue(at, false), is(true));
        mCounts.onStored(true, at);
        send(2, ONE, 2, at - START);
        at += 10_000;
        assertThat(mCounts.takeDue(at, false), is(true));
        mCounts.onStored(false, at);

        assertThat(mCounts.takeDue(at + 500, false), is(true));
    }

    @Test
    void anEntryThatStopsStoresTheOpenWindow() {
        send(1, ONE, 1, 100);

        assertThat(mCounts.takeDue(START + 200, false), is(false));
        assertThat(mCounts.takeDue(START + 200, true), is(true));
    }

    @Test
    void countsThatCanNotBeStoredAreBounded() {
        for (long window = 0; window < 500; window++) {
            send(window, ONE, window, window * WINDOW);
            mCounts.onCallEnd(window);
            if (mCounts.takeDue(START + window * WINDOW, false)) {
                mCounts.onStored(false, START + window * WINDOW);
            }
        }
        mCounts.takeDue(START + 500 * WINDOW, false);

        assertThat(mCounts.counts().windows().size(), is(UsageCounts.MAX_WINDOWS));
    }

    @Test
    void countsOfALongOutageAreBoundedAlthoughNothingIsStored() {
        for (long window = 0; window < 500; window++) {
            send(window, ONE, window, window * WINDOW);
            mCounts.onCallEnd(window);
        }

        assertThat(
                mCounts.counts().windows().size(), lessThanOrEqualTo(UsageCounts.MAX_WINDOWS + 1));
        assertThat(mCounts.takeDue(START + 501 * WINDOW, false), is(true));
        assertThat(mCounts.counts().windows().lastKey(), is(699L));
    }

    @Test
    void storedWindowsAreKeptForALateReporterOnly() {
        for (long window = 0; window < 20; window++) {
            send(window, ONE, window, window * WINDOW);
            mCounts.takeDue(START + (window + 1) * WINDOW + 1_300, false);
            mCounts.onStored(true, START + (window + 1) * WINDOW + 1_310);
        }

        assertThat(mCounts.counts().windows().size(), is(UsageCounts.KEPT_WINDOWS));
        assertThat(mCounts.counts().windows().lastKey(), is(219L));
    }

    @ParameterizedTest
    @CsvSource({"500, 30", "1000, 15", "10, 60", "10000, 6"})
    void shortWindowsAreKeptByTimeWithinABound(long length, int kept) {
        UsageCounts counts = UsageCounts.create(length, 0);
        for (long window = 0; window < 200; window++) {
            long end = START + (window + 1) * length;
            counts.onSent(window, ONE, window, end - length);
            counts.onCallEnd(window);
            if (counts.takeDue(end, true)) {
                counts.onStored(true, end);
            }
        }

        assertThat(counts.counts().windows().size(), is(kept));
    }

    @Test
    void aRejectionThatComesAfterTheWindowWasRemovedIsIgnored() {
        send(1, ONE, 1, 0);
        send(2, ONE, 2, 100 * WINDOW);
        mCounts.takeDue(START + 102 * WINDOW, false);
        mCounts.onNotRun(1, 1);

        assertThat(window(0), is(Map.of()));
        assertThat(mCounts.counts().windows().size(), is(1));
    }
}
