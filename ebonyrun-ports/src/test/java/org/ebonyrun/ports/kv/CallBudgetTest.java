package org.ebonyrun.ports.kv;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallBudgetTest {
    @ParameterizedTest
    @CsvSource({"0, 0", "100, 1", "1000, 10", "100000, 20"})
    void earnsCallsWithTimeUpToItsBurst(long millis, int expected) {
        CallBudget budget = CallBudget.create(10, 20);
        while (budget.tryTake(0)) {
            // Uses the budget up.
        }
        int taken = 0;
        while (budget.tryTake(Nanos.ofMillis(millis))) {
            taken++;
        }
        assertThat(taken, is(expected));
    }

    @Test
    void beginsFull() {
        CallBudget budget = CallBudget.create(1, 2);
        assertThat(budget.tryTake(0), is(true));
        assertThat(budget.tryTake(0), is(true));
        assertThat(budget.tryTake(0), is(false));
    }
}
