package org.ebonyrun.core.usage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UsageLedgerTest {
    private static final long WINDOW = 5_000;
    private static final long START = 200 * WINDOW;
    private static final WorkspaceName ONE = WorkspaceName.of("one");

    private final UsageLedger mLedger = UsageLedger.create(new UsageTimes(WINDOW, 4_000));

    private static SortedMap<WorkspaceName, Long> count(long number) {
        return ImmutableSortedMap.of(ONE, number);
    }

    private UsageLedgerState fixAt(long at) {
        UsageLedgerState state = mLedger.fix(UsageLedgerTest::count, START + at);
        mLedger.onFixed(state);
        return state;
    }

    @ParameterizedTest
    @CsvSource({
        "10000, 4500, 5000",
        "10000, 7500, 2500",
        "10000, 9000, 2500",
        "20000, 4500, 15000"
    })
    void aWindowIsFixedAsLateAsANewHolderCouldStillReportIt(
            long late, long takeover, long expected) {
        assertThat(UsageTimes.of(WINDOW, late, takeover).fixAfterMillis(), is(expected));
    }

    @Test
    void nothingIsDoneBeforeTheStoreWasRead() {
        assertThat(mLedger.isFixDue(START + 100_000), is(false));
        assertThat(mLedger.takeDue(0).isPresent(), is(false));
    }

    @Test
    void aWindowIsFixedSomeTimeAfterItsEndAndSentOnceItIsFixed() {
        mLedger.onRead(Optional.empty(), START + 10);
        assertThat(mLedger.isFixDue(START + 8_999), is(false));
        assertThat(mLedger.isFixDue(START + 9_000), is(true));
        UsageLedgerState state = mLedger.fix(UsageLedgerTest::count, START + 9_000);
        assertThat(mLedger.takeDue(0).isPresent(), is(false));
        mLedger.onFixed(state);

        assertThat(mLedger.isFixDue(START + 9_000), is(false));
        assertThat(state.nextWindow(), is(201L));
        assertThat(mLedger.takeDue(0).orElseThrow().getValue(), is(count(200)));
        assertThat(mLedger.takeDue(0).isPresent(), is(false));
        mLedger.onReply(200, true, 0);
        assertThat(mLedger.takeDue(0).isPresent(), is(false));
        assertThat(fixAt(14_000).unanswered().keySet().toString(), is("[201]"));
    }

    /** Guards against usage that no report contains, since the first holder came late. */
    @ParameterizedTest
    @CsvSource({"200, '[200, 201]'", "199, '[199, 200, 201]'", "197, '[197, 198, 199, 200, 201]'"})
    void callsBeforeTheFirstHolderAreReported(long firstWithCalls, String reported) {
        mLedger.onNothingStored(START + 10);
        UsageLedgerState state =
                mLedger.fix(
                        window -> window == firstWithCalls ? count(3) : ImmutableSortedMap.of(),
                        START + 14_000);

        assertThat(state.unanswered().keySet().toString(), is(reported));
        assertThat(state.unanswered().get(firstWithCalls), is(count(3)));
        assertThat(state.nextWindow(), is(202L));
    }

    @Test
    void nothingBeforeTheFirstHolderIsReportedIfNothingRan() {
        mLedger.onNothingStored(START + 10);
        assertThat(mLedger.isFixDue(START + 8_999), is(true));
        UsageLedgerState early = mLedger.fix(window -> ImmutableSortedMap.of(), START + 8_999);

        assertThat(early.unanswered().isEmpty(), is(true));
        assertThat(early.nextWindow(), is(200L));
    }

    @Test
    void aReportWithoutAnAnswerIsRepeatedAlsoByASuccessor() {
        mLedger.onRead(Optional.empty(), START + 10);
        fixAt(9_000);
        mLedger.takeDue(0);
        mLedger.onReply(200, false, 0);
        assertThat(mLedger.takeDue(Nanos.ofMillis(499)).isPresent(), is(false));
        assertThat(mLedger.takeDue(Nanos.ofMillis(500)).orElseThrow().getKey(), is(200L));
        UsageLedgerState state = fixAt(14_000);

        UsageLedger successor = UsageLedger.create(new UsageTimes(WINDOW, 4_000));
        successor.onRead(Optional.of(state), START + 15_000);
        assertThat(successor.takeDue(0).orElseThrow().getValue(), is(count(200)));
        successor.onReply(200, true, 0);
        assertThat(successor.takeDue(0).orElseThrow().getValue(), is(count(201)));
        assertThat(successor.nextWindow(), is(202L));
    }

    @Test
    void anAnswerThatComesWhileTheNextWindowIsFixedIsNotForgotten() {
        mLedger.onRead(Optional.empty(), START + 10);
        fixAt(9_000);
        mLedger.takeDue(0);
        UsageLedgerState state = mLedger.fix(UsageLedgerTest::count, START + 14_000);
        mLedger.onReply(200, true, 0);
        mLedger.onFixed(state);

        assertThat(mLedger.takeDue(0).orElseThrow().getKey(), is(201L));
    }

    @Test
    void windowsThatWereMissedAreFixedTogetherAndBounded() {
        mLedger.onRead(Optional.of(new UsageLedgerState(200, new TreeMap<>())), START);
        UsageLedgerState state = fixAt(500 * WINDOW);

        assertThat(state.unanswered().size(), is(UsageLedger.MAX_UNANSWERED));
        assertThat(state.unanswered().lastKey(), is(state.nextWindow() - 1));
        fixAt(510 * WINDOW);
        assertThat(mLedger.unansweredCount(), is(UsageLedger.MAX_UNANSWERED));
        assertThat(mLedger.givenUp(), is(10L));
    }
}
