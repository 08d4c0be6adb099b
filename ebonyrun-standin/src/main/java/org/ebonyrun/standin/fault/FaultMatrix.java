package org.ebonyrun.standin.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.ebonyrun.standin.virtual.FaultKind;
import org.ebonyrun.standin.virtual.FaultPlan;
import org.ebonyrun.standin.virtual.InjectionPoint;

/** Each kind of fault at each injection point, and pairs of faults. Stateless and thread safe. */
public final class FaultMatrix {
    /** Occurrences of an injection point at which each cell injects its fault. */
    public static final int[] OCCURRENCES = {0, 3};

    private static final int PAIR_OCCURRENCES = 20;

    private FaultMatrix() {}

    /**
     * One kind of fault at one injection point.
     *
     * @param injectionPoint the injection point
     * @param kind the kind of fault
     */
    public record Cell(InjectionPoint injectionPoint, FaultKind kind) {
        /** Returns why the fault can't occur at the injection point, or empty if it can. */
        public Optional<String> notApplicableReason() {
            return switch (kind) {
                case ENTRY_CRASH_BEFORE, ENTRY_CRASH_AFTER, ENTRY_PAUSE, FENCE_IGNORED ->
                        unlessInvolved(InjectionPoint.Participant.ENTRY, "no entry takes part");
                case LINK_CUT, ANSWER_LOST, DUPLICATE -> unlessMessage();
                case REORDER ->
                        unlessInvolved(
                                InjectionPoint.Participant.LINK, "it is no message on a link");
                case DELAY, STORE_DOWN, STORE_SLOW, STORE_ANSWER_LOST -> Optional.empty();
                default -> unlessInvolved(InjectionPoint.Participant.AGENT, "no agent takes part");
            };
        }

        private Optional<String> unlessMessage() {
            return injectionPoint.involves(InjectionPoint.Participant.LINK)
                            || injectionPoint.involves(InjectionPoint.Participant.CLIENT)
                    ? Optional.empty()
                    : Optional.of("it is no message of ours");
        }

        private Optional<String> unlessInvolved(
                InjectionPoint.Participant participant, String reason) {
            return injectionPoint.involves(participant) ? Optional.empty() : Optional.of(reason);
        }
    }

    /** Returns all cells, ordered by injection point and then by kind of fault. */
    public static List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (InjectionPoint point : InjectionPoint.values()) {
            for (FaultKind kind : FaultKind.values()) {
                cells.add(new Cell(point, kind));
            }
        }
        return cells;
    }

    /** Returns the cells whose fault can occur. */
    public static List<Cell> applicableCells() {
        return cells().stream().filter(cell -> cell.notApplicableReason().isEmpty()).toList();
    }

    /** Runs the scenario with a fault at one occurrence of its injection point. */
    public static FaultOutcome run(Cell cell, int occurrence) {
        long seed = seed(cell, occurrence);
        FaultPlan.PlannedFault fault =
                new FaultPlan.PlannedFault(cell.injectionPoint(), occurrence, cell.kind());
        return FaultScenario.run(seed, FaultPlan.of(List.of(fault)));
    }

    /** Returns the two faults that a seed determines. */
    public static List<FaultPlan.PlannedFault> faultPair(long seed) {
        Random random = new Random(seed);
        List<Cell> cells = applicableCells();
        List<FaultPlan.PlannedFault> faults = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Cell cell = cells.get(random.nextInt(cells.size()));
            int occurrence = random.nextInt(PAIR_OCCURRENCES);
            faults.add(new FaultPlan.PlannedFault(cell.injectionPoint(), occurrence, cell.kind()));
        }
        return faults;
    }

    /** Runs the scenario with the pair of faults that the seed determines. */
    public static FaultOutcome runPair(long seed) {
        return FaultScenario.run(seed, FaultPlan.of(faultPair(seed)));
    }

    private static long seed(Cell cell, int occurrence) {
        return cell.injectionPoint().ordinal() * 1_000L + cell.kind().ordinal() * 10L + occurrence;
    }
}
