package org.ebonyrun.core.hedge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExtraWorkBudgetTest {
    private static final double ROUNDING = 1e-6;

    @ParameterizedTest
    @CsvSource({"0.05, 1", "0.05, 2", "0.01, 3", "0.2, 4", "0.003, 5", "0.5, 6"})
    void extraRunsStayWithinTheLimitInEveryPeriod(double share, long seed) {
        Random random = new Random(seed);
        ExtraWorkBudget budget = new ExtraWorkBudget();
        // Answered calls so far at each extra run.
        List<Integer> extraRuns = new ArrayList<>();
        int answered = 0;
        boolean greedy = false;
        for (int i = 0; i < 20_000; i++) {
            greedy = random.nextInt(500) == 0 ? !greedy : greedy;
            budget.onAnswered(share);
            answered++;
            while (greedy && budget.hasRun()) {
                budget.spend();
                extraRuns.add(answered);
                double limit = share * answered + ROUNDING;
                assertThat((double) extraRuns.size(), lessThanOrEqualTo(limit));
            }
        }

        assertThat(extraRuns.size(), greaterThan(0));
        for (int from = 0; from < extraRuns.size(); from++) {
            int to = Math.min(extraRuns.size() - 1, from + 200);
            double limit =
                    share * (extraRuns.get(to) - extraRuns.get(from))
                            + ExtraWorkBudget.MAX_SAVED
                            + ROUNDING;
            assertThat((double) (to - from + 1), lessThanOrEqualTo(limit));
        }
    }

    @Test
    void aNewBudgetHasNoExtraRun() {
        ExtraWorkBudget budget = new ExtraWorkBudget();

        assertThat(budget.hasRun(), is(false));
        assertThrows(IllegalStateException.class, budget::spend);
    }

    @ParameterizedTest
    @CsvSource({"0.05, 20", "0.01, 100", "0.5, 2", "1, 1"})
    void anExtraRunIsEarnedByItsShareOfAnsweredCalls(double share, int calls) {
        ExtraWorkBudget budget = new ExtraWorkBudget();
        for (int i = 1; i < calls; i++) {
            budget.onAnswered(share);
            assertThat(budget.hasRun(), is(false));
        }
        budget.onAnswered(share);

        assertThat(budget.hasRun(), is(true));
    }
}
