package org.ebonyrun.standin.virtual;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Which fault strikes at which occurrence of which step. Not thread safe; counts occurrences. */
public final class FaultPlan {
    private final List<PlannedFault> mStrikes;
    private final Map<InjectionPoint, Integer> mSeen = new EnumMap<>(InjectionPoint.class);
    private int mStruck;

    private FaultPlan(List<PlannedFault> strikes) {
        mStrikes = List.copyOf(strikes);
    }

    /**
     * One fault.
     *
     * @param step the step
     * @param occurrence at which occurrence of the step, from zero
     * @param kind what goes wrong
     */
    public record PlannedFault(InjectionPoint injectionPoint, int occurrence, FaultKind kind) {}

    /** Returns a plan without faults. */
    public static FaultPlan none() {
        return new FaultPlan(List.of());
    }

    /** Returns a plan with the given faults. */
    public static FaultPlan of(List<PlannedFault> strikes) {
        return new FaultPlan(strikes);
    }

    /** Counts an occurrence of a step and returns the fault that strikes it. */
    Optional<FaultKind> recordOccurrence(InjectionPoint step) {
        int occurrence = mSeen.merge(step, 1, Integer::sum) - 1;
        for (PlannedFault strike : mStrikes) {
            if (strike.injectionPoint() == step && strike.occurrence() == occurrence) {
                mStruck++;
                return Optional.of(strike.kind());
            }
        }
        return Optional.empty();
    }

    /** Returns how many faults have struck. */
    public int injectedCount() {
        return mStruck;
    }

    /** Returns how often a step has occurred. */
    public int occurrences(InjectionPoint step) {
        return mSeen.getOrDefault(step, 0);
    }
}
