package org.ebonyrun.core.weights;

import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.wire.Message;
import org.jspecify.annotations.Nullable;

/** Messages between the planner and agents about loading weights. Immutable. */
public sealed interface WeightMessage extends Message {
    /**
     * Orders an agent to load a version into its endpoint.
     *
     * @param version the version
     * @param fence the fence of the planner
     * @param source the address from which the endpoint fetches the weights
     */
    record LoadOrder(long version, long fence, String source) implements WeightMessage {}

    /**
     * Reports the outcome of an order.
     *
     * @param version the version that was ordered
     * @param fault the reason of the failure; null on success
     */
    record LoadResult(long version, @Nullable Fault fault) implements WeightMessage {}
}
