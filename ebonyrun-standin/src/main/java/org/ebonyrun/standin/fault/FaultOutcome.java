package org.ebonyrun.standin.fault;

import java.util.List;

/**
 * What a run under faults came to.
 *
 * @param seed the seed of the run
 * @param struck how many faults struck
 * @param calls calls that ended
 * @param answered calls that were answered
 * @param steps steps that were completed
 * @param broken promises that were broken; empty if all were kept
 */
public record FaultOutcome(
        long seed,
        int injectedFaults,
        int calls,
        int answered,
        int steps,
        List<String> violations) {
    /** Returns whether every promise was kept. */
    public boolean hasPassed() {
        return violations.isEmpty();
    }
}
