package org.ebonyrun.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.id.AttemptId;
import org.junit.jupiter.api.Test;

class SeenAttemptsTest {
    private final SeenAttempts mSeen = new SeenAttempts();

    @Test
    void detectsDuplicatesInAnyOrder() {
        assertThat(add(1, 5), is(true));
        assertThat(add(1, 3), is(true));
        assertThat(add(1, 5), is(false));
        assertThat(add(1, 3), is(false));
        assertThat(add(2, 5), is(true));
    }

    @Test
    void treatsIdsOlderThanWindowAsSeen() {
        assertThat(add(1, 100_000), is(true));
        assertThat(add(1, 3), is(false));
        assertThat(add(1, 99_999), is(true));
    }

    @Test
    void acceptsNewIdsBeyondWindowSize() {
        for (long counter = 0; counter < 50_000; counter++) {
            assertThat(add(1, counter), is(true));
        }
        assertThat(add(1, 49_999), is(false));
    }

    private boolean add(long incarnation, long counter) {
        return mSeen.add(new AttemptId(incarnation, counter));
    }
}
