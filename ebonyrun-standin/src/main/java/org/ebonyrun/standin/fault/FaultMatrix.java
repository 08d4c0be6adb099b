package org.ebonyrun.standin.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.ebonyrun.standin.virtual.FaultKind;
import org.ebonyrun.standin.virtual.FaultPlan;
import org.ebonyrun.standin.virtual.InjectionPoint;

/** Every fault at every step, and pairs of them. Stateless and thread safe. */
public final class FaultMatrix {
    /** Occurrences of a step at which each cell is tried. */
    public static final int[] OCCURRENCES = {0, 3};

    private static final int PAIR_OCCURRENCES = 20;

    private FaultMatrix() {}

    /**
     * One cell.
     *
     * @param step the row
     * @param kind the column
     */
    public record Cell(InjectionPoint injectionPoint, FaultKind kind) {
        /** Returns why the cell can't occur, or empty if it can. */
        public Optional<String> notApplicableReason() {
            return switch (kind) {
                case ENTRY_CRASH_BEFORE, ENTRY_CRASH_AFTER, ENTRY_PAUSE, FENCE_IGNORED ->
                        unless(InjectionPoint.Participant.ENTRY, "no entry takes part");
                case LINK_CUT, ANSWER_LOST, DUPLICATE -> messageReason();
                case REORDER ->
                        unless(InjectionPoint.Participant.LINK, "it is no message on a link");
                case DELAY, STORE_DOWN, STORE_SLOW, STORE_ANSWER_LOST -> Optional.empty();
                default -> unless(InjectionPoint.Participant.AGENT, "no agent takes part");
            };
        }

        private Optional<String> messageReason() {
            return injectionPoint.involves(InjectionPoint.Participant.LINK)
                            || injectionPoint.involves(InjectionPoint.Participant.CLIENT)
                    ? Optional.empty()
                    : Optional.of("it is no message of ours");
        }

        private Optional<String> unless(InjectionPoint.Participant party, String reason) {
            return injectionPoint.involves(party) ? Optional.empty() : Optional.of(reason);
        }
    }

    /** Returns all cells, row after row. */
    public static List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (InjectionPoint step : InjectionPoint.values()) {
            for (FaultKind kind : FaultKind.values()) {
                cells.add(new Cell(step, kind));
            }
        }
        return cells;
    }

    /** Returns the cells that can occur. */
    public static List<Cell> applicableCells() {
        return cells().stream().filter(cell -> cell.notApplicableReason().isEmpty()).toList();
    }

    /** Runs one cell at one occurrence of its step. */
    public static FaultOutcome run(Cell cell, int occurrence) {
        long seed = seed(cell, occurrence);
        FaultPlan.PlannedFault strike =
                new FaultPlan.PlannedFault(cell.injectionPoint(), occurrence, cell.kind());
        return FaultScenario.run(seed, FaultPlan.of(List.of(strike)));
    }

    /** Returns the two faults of a seeded pair. */
    public static List<FaultPlan.PlannedFault> faultPair(long seed) {
        Random random = new Random(seed);
        List<Cell> cells = applicableCells();
        List<FaultPlan.PlannedFault> strikes = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Cell cell = cells.get(random.nextInt(cells.size()));
            int occurrence = random.nextInt(PAIR_OCCURRENCES);
            strikes.add(new FaultPlan.PlannedFault(cell.injectionPoint(), occurrence, cell.kind()));
        }
        return strikes;
    }

    /** Runs a seeded pair of faults. */
    public static FaultOutcome runPair(long seed) {
        return FaultScenario.run(seed, FaultPlan.of(faultPair(seed)));
    }

    private static long seed(Cell cell, int occurrence) {
        return cell.injectionPoint().ordinal() * 1_000L + cell.kind().ordinal() * 10L + occurrence;
    }
}
