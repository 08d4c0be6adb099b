package org.ebonyrun.standin.fault;

import java.util.List;

/**
 * The result of a run with faults.
 *
 * @param seed the seed of the run
 * @param injectedFaults number of injected faults
 * @param calls number of calls that ended
 * @param answered number of calls that were answered
 * @param steps number of completed steps
 * @param violations violations of the guarantees; empty if all hold
 */
public record FaultOutcome(
        long seed,
        int injectedFaults,
        int calls,
        int answered,
        int steps,
        List<String> violations) {
    /** Returns whether all guarantees hold. */
    public boolean hasPassed() {
        return violations.isEmpty();
    }
}
