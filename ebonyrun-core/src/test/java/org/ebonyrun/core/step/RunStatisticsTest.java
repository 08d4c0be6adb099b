package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunStatisticsTest {
    private static final int TEXTS = 20;
    private static final int EVENTS = 30;
    private static final int TOKENS_PER_EVENT = 50;

    private final RunStatistics mStatistics = new RunStatistics();

    @BeforeEach
    void observeTexts() {
        for (int i = 0; i < TEXTS; i++) {
            mStatistics.onComplete(EVENTS * TOKENS_PER_EVENT, EVENTS);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "3000, 0, 60", // twice the usual estimate, twice the usual length
        "3000, 45, 22.5", // at least half of what it has
        "500, 10, 5",
        "0, 10, 20" // no estimate: as long as others were
    })
    void predictsTheRestOfAText(long expectedTokens, int events, double remaining) {
        assertThat(mStatistics.remainingEvents(expectedTokens, events), closeTo(remaining, 0.01));
    }

    @Test
    void takesATextForHalfCompleteUntilLengthsAreKnown() {
        RunStatistics empty = new RunStatistics();
        empty.onComplete(EVENTS, EVENTS);

        assertThat(empty.predictsLength(), is(false));
        assertThat(empty.remainingEvents(3_000, 7), is(7.0));
        assertThat(empty.remainingEvents(3_000, 0), is(1.0));
    }

    @Test
    void smoothsTheTimeThatRunsTakeToStart() {
        mStatistics.onStarted(100);
        mStatistics.onStarted(200);

        assertThat(mStatistics.startNanos(), closeTo(110, 0.01));
    }
}
