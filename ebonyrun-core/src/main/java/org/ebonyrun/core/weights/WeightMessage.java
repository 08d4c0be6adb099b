package org.ebonyrun.core.weights;

import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.wire.Message;
import org.jspecify.annotations.Nullable;

/** Messages about the roll-out of weights. Immutable. */
public sealed interface WeightMessage extends Message {
    /**
     * Orders an agent to have its endpoint load a version.
     *
     * @param version the version
     * @param fence the fence of the planner
     * @param source the address from which the endpoint fetches the weights
     */
    record LoadOrder(long version, long fence, String source) implements WeightMessage {}

    /**
     * Tells how an order ended.
     *
     * @param version the version that was ordered
     * @param fault what went wrong; null on success
     */
    record LoadResult(long version, @Nullable Fault fault) implements WeightMessage {}
}
