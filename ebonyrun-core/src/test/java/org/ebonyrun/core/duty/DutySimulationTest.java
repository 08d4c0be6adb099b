package org.ebonyrun.core.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.ebonyrun.base.id.WorkspaceName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Holders of the duties under random faults with fixed seeds. */
class DutySimulationTest {
    private static final long FAULTY_MILLIS = 240_000;
    private static final long CALM_MILLIS = 40_000;
    private static final int SEEDS = 60;

    private static Stream<Arguments> runs() {
        return Stream.of(true, false)
                .flatMap(
                        fenced ->
                                Stream.iterate(1L, seed -> seed + 1)
                                        .limit(SEEDS)
                                        .map(seed -> Arguments.of(seed, fenced)));
    }

    private static List<DutyCall> ofDuty(DutySimulation run, String duty) {
        return run.calls().stream().filter(call -> call.duty().equals(duty)).toList();
    }

    /** Returns the calls that break the order of holders. */
    private static List<String> turns(List<DutyCall> calls) {
        List<String> found = new ArrayList<>();
        for (int k = 0; k < calls.size(); k++) {
            DutyCall last = calls.get(k);
            boolean between = false;
            for (int i = k - 1; i >= 0; i--) {
                DutyCall call = calls.get(i);
                if (last.atMillis() - call.atMillis() >= DutySimulation.LEASE_MILLIS) {
                    break;
                }
                if (call.vm() != last.vm()) {
                    between = true;
                } else if (between) {
                    found.add(call + " .. " + last);
                    break;
                }
            }
        }
        return found;
    }

    private static List<String> fallingFences(List<DutyCall> calls) {
        List<String> found = new ArrayList<>();
        long highest = 0;
        for (DutyCall call : calls) {
            if (call.fence() < highest) {
                found.add(call + " after " + highest);
            }
            highest = Math.max(highest, call.fence());
        }
        return found;
    }

    @ParameterizedTest
    @MethodSource("runs")
    void successiveHoldersKeepApart(long seed, boolean fenced) {
        DutySimulation run = new DutySimulation(seed, fenced);
        run.run(FAULTY_MILLIS, CALM_MILLIS);

        assertThat(run.holderChanges(), greaterThan(5));
        run.acquired().forEach((fence, processes) -> assertThat(processes.size(), is(1)));
        Map<Long, Integer> vmOfFence = new HashMap<>();
        for (DutyCall call : run.calls()) {
            Integer other = vmOfFence.putIfAbsent(call.fence(), call.vm());
            assertThat(other == null || other == call.vm(), is(true));
        }
        for (String duty : List.of("usage", "scale")) {
            List<DutyCall> onTime =
                    ofDuty(run, duty).stream().filter(call -> !call.late()).toList();
            if (fenced) {
                assertThat(
                        turns(
                                onTime.stream()
                                        .filter(call -> !call.refused() && call.inTouch())
                                        .toList()),
                        is(empty()));
            } else {
                assertThat(fallingFences(onTime), is(empty()));
                assertThat(turns(onTime), is(empty()));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("runs")
    void eachWindowIsReportedWithOneContent(long seed, boolean fenced) {
        DutySimulation run = new DutySimulation(seed, fenced);
        run.run(FAULTY_MILLIS, CALM_MILLIS);

        Map<Long, Set<SortedMap<WorkspaceName, Long>>> contents = new HashMap<>();
        for (DutyCall call : ofDuty(run, "usage")) {
            if (!call.refused()) {
                contents.computeIfAbsent(call.window(), window -> new HashSet<>())
                        .add(call.counts());
            }
        }
        contents.forEach((window, different) -> assertThat(different.size(), is(1)));
        // Every window was reported in the end, those of the calm time soon.
        TreeSet<Long> windows = new TreeSet<>(contents.keySet());
        long due = (run.nowMillis() - 10_000) / 5_000 - 1;
        assertThat(windows.last() >= due, is(true));
        assertThat((long) windows.size(), is(windows.last() - windows.first() + 1));
    }
}
