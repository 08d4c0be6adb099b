package org.ebonyrun.core.attempt;

import java.util.function.Supplier;

/**
 * The configurable policies of an agent.
 *
 * <p>Immutable and thread safe.
 *
 * @param order the order in which queued attempts start
 * @param admission creates the admission policy for samples
 * @param refusesLateCalls whether a call that is predicted to miss its target is refused on arrival
 */
public record AttemptPolicy(
        QueueOrder order, Supplier<SampleAdmission> admission, boolean refusesLateCalls) {
    /** Returns the policy that the daemon uses. */
    public static AttemptPolicy standard() {
        return new AttemptPolicy(QueueOrder.leastLaxity(), SampleAdmission::callReserve, true);
    }
}
