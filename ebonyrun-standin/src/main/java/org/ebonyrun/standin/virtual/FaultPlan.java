package org.ebonyrun.standin.virtual;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The faults to inject, each at one occurrence of an injection point. Counts occurrences.
 *
 * <p>Not thread safe.
 */
public final class FaultPlan {
    private final List<PlannedFault> mFaults;
    private final Map<InjectionPoint, Integer> mOccurrences = new EnumMap<>(InjectionPoint.class);
    private int mInjectedCount;

    private FaultPlan(List<PlannedFault> faults) {
        mFaults = List.copyOf(faults);
    }

    /**
     * One fault to inject.
     *
     * @param injectionPoint the injection point
     * @param occurrence the occurrence of the injection point, counted from zero
     * @param kind the kind of fault
     */
    public record PlannedFault(InjectionPoint injectionPoint, int occurrence, FaultKind kind) {}

    /** Returns a plan without faults. */
    public static FaultPlan none() {
        return new FaultPlan(List.of());
    }

    /** Returns a plan with the given faults. */
    public static FaultPlan of(List<PlannedFault> faults) {
        return new FaultPlan(faults);
    }

    /** Counts an occurrence of an injection point and returns the fault planned for it. */
    Optional<FaultKind> recordOccurrence(InjectionPoint point) {
        int occurrence = mOccurrences.merge(point, 1, Integer::sum) - 1;
        for (PlannedFault fault : mFaults) {
            if (fault.injectionPoint() == point && fault.occurrence() == occurrence) {
                mInjectedCount++;
                return Optional.of(fault.kind());
            }
        }
        return Optional.empty();
    }

    /** Returns the number of faults injected so far. */
    public int injectedCount() {
        return mInjectedCount;
    }

    /** Returns the number of occurrences of an injection point so far. */
    public int occurrences(InjectionPoint point) {
        return mOccurrences.getOrDefault(point, 0);
    }
}
