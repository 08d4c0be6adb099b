package org.ebonyrun.client.explain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LogAnalysisTest {
    private static final String[] LINES = {
        "  0.1 vm-1 {'at':1000,'event':'step.owned','step':'s','samples':3,'model':'m','number':2}",
        "  0.1 vm-1 {'at':900,'event':'version.named','model':'m','version':2}",
        "  0.2 vm-1 {'at':1010,'event':'sample.sent','step':'s','request':'a','run':1}",
        "  0.2 vm-1 {'at':1020,'event':'sample.sent','step':'s','request':'b','run':2}",
        "  0.2 vm-2 {'at':1030,'event':'sample.sent','step':'other','request':'x','run':1}",
        "  0.3 vm-1 {'at':1100,'event':'sample.stopped','run':2,'why':'endpoint is slow: 61 ms'}",
        "  0.3 vm-1 {'at':1110,'event':'sample.sent','step':'s','request':'b','run':3}",
        "  0.4 vm-2 {'at':1150,'event':'sample.run','run':1,'end':'COMPLETE'}",
        "  0.4 vm-1 {'at':1200,'event':'sample.run','run':1,'end':'COMPLETE'}",
        "  0.5 vm-1 {'at':1300,'event':'sample.run','run':3,'end':'COMPLETE'}",
        "  0.6 vm-2 {'at':1400,'event':'step.end','step':'s'}",
        "  0.7 vm-1 {'at':1450,'event':'step.ended','step':'s'}",
        "  0.2 vm-1 {'at':1010,'event':'call.sent','request':'c'}",
        "  0.2 vm-1 {'at':1060,'event':'call.attempt','request':'c','end':'LOST'}",
        "  0.2 vm-1 {'at':1900,'event':'call.attempt','request':'c','end':'COMPLETE'}",
        "  0.2 vm-1 {'at':1010,'event':'call.sent','request':'d'}",
        "  0.2 vm-1 {'at':1020,'event':'call.attempt','request':'d','end':'COMPLETE'}",
        "{'at':1500,'event':'call.refused','request':'e','why':'full'}",
        "{'at':1000,'event':'order'}",
        "{'at':1700,'event':'order'}",
        "{'at':1800,'event':'order'}",
    };

    private final LogAnalysis mAnalysis =
            LogAnalysis.of(
                    Stream.of(LINES)
                            .map(line -> LogEvent.parse(line.replace('\'', '"')).orElseThrow())
                            .toList());

    @Test
    void reconstructsAStepFromItsFirstSampleToItsEnd() {
        StepSummary step = mAnalysis.steps().get(0);

        assertThat(mAnalysis.steps(), hasSize(1));
        assertThat(step.acceptedAt(), is(1_000L));
        assertThat(step.unsentSamples(), is(1));
        assertThat(step.completedAt(0.5), is(OptionalLong.of(1_200)));
        assertThat(step.completedAt(1), is(OptionalLong.of(1_300)));
        assertThat(step.endedAt(), is(OptionalLong.of(1_400)));
        assertThat(step.failedRuns(), is(Map.of("endpoint is slow", 1)));
        assertThat(mAnalysis.versionNamedAt("m", 2), is(OptionalLong.of(900)));
        assertThat(mAnalysis.versionNamedAt("m", 3), is(OptionalLong.empty()));
    }

    @Test
    void findsLateAndFailedCallsWithTheirAttempts() {
        List<CallSummary> calls = mAnalysis.lateOrFailedCalls(500);

        assertThat(calls.stream().map(CallSummary::requestId).toList(), contains("c", "e"));
        assertThat(calls.get(0).durationMillis(), is(890L));
        assertThat(calls.get(0).attemptOutcomes(), contains("LOST", "COMPLETE"));
        assertThat(calls.get(1).failure(), is("full"));
    }

    @Test
    void findsTheLongestTimeBetweenOrders() {
        assertThat(mAnalysis.longestOrderGap(), contains(1_000L, 1_700L));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "no json", "vm {\"at\":1}", "vm {\"at\":1,\"event\":", "Caused by: {"})
    void ignoresLinesOfOtherPrograms(String line) {
        assertThat(LogEvent.parse(line), is(Optional.empty()));
    }
}
