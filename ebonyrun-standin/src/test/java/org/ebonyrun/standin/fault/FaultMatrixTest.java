package org.ebonyrun.standin.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.LongStream;
import org.ebonyrun.standin.virtual.FaultKind;
import org.ebonyrun.standin.virtual.FaultPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class FaultMatrixTest {
    @Test
    void everythingIsAnsweredWithoutFaults() {
        FaultOutcome outcome = FaultScenario.run(1, FaultPlan.none());
        assertThat(outcome.violations(), empty());
        assertThat(outcome.answered(), greaterThan(outcome.calls() * 9 / 10));
    }

    @Test
    void aRunIsAFunctionOfItsSeed() {
        assertThat(FaultMatrix.runPair(7), is(FaultMatrix.runPair(7)));
    }

    @ParameterizedTest
    @EnumSource(FaultKind.class)
    void keepsEveryPromiseUnderEachFaultAtEachStep(FaultKind kind) {
        List<String> broken =
                FaultMatrix.applicableCells().parallelStream()
                        .filter(cell -> cell.kind() == kind)
                        .flatMap(
                                cell ->
                                        FaultMatrix.run(cell, 1).violations().stream()
                                                .map(text -> cell + ": " + text))
                        .toList();
        assertThat(broken, empty());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 100, 200})
    void keepsEveryPromiseUnderPairsOfFaults(long first) {
        List<String> broken =
                LongStream.range(first, first + 100)
                        .parallel()
                        .boxed()
                        .flatMap(
                                seed ->
                                        FaultMatrix.runPair(seed).violations().stream()
                                                .map(text -> "pair " + seed + ": " + text))
                        .toList();
        assertThat(broken, empty());
    }
}
