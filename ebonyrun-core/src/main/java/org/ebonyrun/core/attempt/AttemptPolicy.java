package org.ebonyrun.core.attempt;

import java.util.function.Supplier;

/**
 * The decisions of an agent that can be chosen.
 *
 * <p>Immutable and thread safe.
 *
 * @param order which queued attempt starts first
 * @param admission makes the rule for samples
 * @param refusesLate whether a call that would miss its target is refused at once
 */
public record AttemptPolicy(
        QueueOrder order, Supplier<SampleAdmission> admission, boolean refusesLateCalls) {
    /** Returns the policy that the daemon runs with. */
    public static AttemptPolicy standard() {
        return new AttemptPolicy(QueueOrder.leastLaxity(), SampleAdmission::callReserve, true);
    }
}
