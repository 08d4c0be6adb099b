package org.ebonyrun.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallReserveTest {
    private static final long LATER = Nanos.ofMillis(200_000);

    private final CallReserve mReserve = new CallReserve();

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 2", "2, 4", "9, 4"})
    void reservesMeanPlusOneDeviationUpToHalfOfSlots(int calls, int slots) {
        mReserve.updateOpenCalls(calls, 0);
        assertThat(mReserve.reservedSlots(8, LATER), is(slots));
    }

    @Test
    void shrinksReserveWhileCallsAreInTime() {
        mReserve.updateOpenCalls(1, 0);
        for (int i = 0; i < 2_000; i++) {
            mReserve.onCallEnd(true, 0.99);
        }
        assertThat(mReserve.reservedSlots(8, LATER), is(0));
    }

    @Test
    void growsReserveWhenCallsAreLate() {
        shrinksReserveWhileCallsAreInTime();
        for (int i = 0; i < 8; i++) {
            mReserve.onCallEnd(false, 0.99);
        }
        assertThat(mReserve.reservedSlots(8, LATER), is(2));
    }

    @Test
    void isStableAtHalfOfAllowedLateShare() {
        mReserve.updateOpenCalls(1, 0);
        int before = mReserve.reservedSlots(8, LATER);
        for (int i = 0; i < 10_000; i++) {
            mReserve.onCallEnd(i % 200 != 0, 0.99);
        }
        assertThat(mReserve.reservedSlots(8, LATER), is(before));
    }
}
