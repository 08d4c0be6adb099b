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

/** Checks the guarantees of the service under injected faults, in virtual time. */
class FaultMatrixTest {
    @Test
    void guaranteesHoldAndCallsAreAnsweredWithoutFaults() {
        FaultOutcome outcome = FaultScenario.run(1, FaultPlan.none());
        assertThat(outcome.violations(), empty());
        assertThat(outcome.answered(), greaterThan(outcome.calls() * 9 / 10));
    }

    @Test
    void runsWithTheSameSeedAreEqual() {
        assertThat(FaultMatrix.runPair(7), is(FaultMatrix.runPair(7)));
    }

    @ParameterizedTest
    @EnumSource(FaultKind.class)
    void guaranteesHoldForEachFaultAtEachInjectionPoint(FaultKind kind) {
        List<String> violations =
                FaultMatrix.applicableCells().parallelStream()
                        .filter(cell -> cell.kind() == kind)
                        .flatMap(
                                cell ->
                                        FaultMatrix.run(cell, 1).violations().stream()
                                                .map(violation -> cell + ": " + violation))
                        .toList();
        assertThat(violations, empty());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 100, 200})
    void guaranteesHoldForPairsOfFaults(long firstSeed) {
        List<String> violations =
                LongStream.range(firstSeed, firstSeed + 100)
                        .parallel()
                        .boxed()
                        .flatMap(
                                seed ->
                                        FaultMatrix.runPair(seed).violations().stream()
                                                .map(
                                                        violation ->
                                                                "pair " + seed + ": " + violation))
                        .toList();
        assertThat(violations, empty());
    }
}
