package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClass;
import org.junit.jupiter.api.Test;

class UnparsedInputTest {
    private static final int LIMIT = 10_000;

    private final MemoryAccount mAccount = MemoryAccount.withLimit(LIMIT);
    private final UnparsedInput mInput = new UnparsedInput(mAccount.open(MemoryClass.INPUT));

    @Test
    void aHeadThatDoesNotEndIsHeldUntilItDoes() {
        assertThat(mInput.add(3_000), is(true));
        assertThat(mInput.onHeadIncomplete(2_000), is(true));
        // The read in which it begins is held as a whole.
        assertThat(mInput.keptBytes(), is(3_000L));

        assertThat(mInput.add(500), is(true));
        assertThat(mInput.onHeadIncomplete(2_500), is(true));
        assertThat(mInput.keptBytes(), is(3_500L));
        assertThat(mAccount.held(), greaterThanOrEqualTo(3_500L));

        mInput.onParsed();
        assertThat(mAccount.held(), is(0L));
    }

    @Test
    void aHeadBeyondTheMemoryIsNotHeld() {
        assertThat(mInput.add(6_000), is(true));
        assertThat(mInput.onHeadIncomplete(6_000), is(true));
        assertThat(mInput.add(6_000), is(true));
        assertThat(mInput.onHeadIncomplete(12_000), is(false));

        mInput.release();
        assertThat(mAccount.held(), is(0L));
    }

    @Test
    void whatIsReadOfChunksIsHeldAtOnce() {
        assertThat(mInput.addOfChunks(4_000), is(true));
        assertThat(mInput.keptBytes(), is(4_000L));
        assertThat(mInput.addOfChunks(7_000), is(false));
        mInput.onParsed();
        assertThat(mAccount.held(), is(0L));
    }

    @Test
    void nothingIsTakenAfterTheRelease() {
        mInput.release();

        assertThat(mInput.add(1), is(true));
        assertThat(mInput.onHeadIncomplete(1), is(true));
        assertThat(mAccount.held(), is(0L));
    }
}
