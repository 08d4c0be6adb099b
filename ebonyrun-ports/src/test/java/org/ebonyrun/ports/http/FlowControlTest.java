package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FlowControlTest {
    private static final int HIGH = 1_000;
    private static final int LOW = 300;
    private static final int MAX_PIECE = 200;

    /** Counts how often it is paused and resumed, and fails if it is told twice in a row. */
    private static final class FakeSource implements FlowControl.Source {
        private boolean mPaused;

        @Override
        public void pause() {
            assertThat(mPaused, is(false));
            mPaused = true;
        }

        @Override
        public void resume() {
            assertThat(mPaused, is(true));
            mPaused = false;
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void pendingBytesAreBoundedAndASinkThatWritesGetsEverything(long seed) {
        Random random = new Random(seed);
        FakeSource source = new FakeSource();
        FlowControl flowControl = FlowControl.of(source, HIGH, LOW);
        long pending = 0;
        for (int i = 0; i < 20_000; i++) {
            if (!source.mPaused && random.nextInt(3) > 0) {
                int piece = random.nextInt(MAX_PIECE);
                pending += piece;
                flowControl.onReceived(piece);
            } else if (pending > 0) {
                int piece = (int) Math.min(pending, random.nextInt(MAX_PIECE));
                pending -= piece;
                flowControl.onWritten(piece);
            }
            assertThat(pending, lessThanOrEqualTo((long) HIGH + MAX_PIECE));
        }
        flowControl.onWritten((int) pending);
        assertThat(source.mPaused, is(false));
    }
}
