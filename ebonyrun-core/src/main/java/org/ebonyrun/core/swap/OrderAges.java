package org.ebonyrun.core.swap;

import java.util.Map;
import java.util.TreeMap;

/**
 * The age of the last order to each endpoint, by endpoint ID. From it, the next holder of the
 * planner's lease determines which endpoints may still receive an order of its predecessors. An
 * endpoint is missing if it was never ordered, or if its last order is older than the quiet period,
 * after which an order can no longer take effect. A negative age means that the order may still be
 * in transit for that time.
 *
 * @param own ages of the orders of one holder, in nanoseconds; never above the true age
 * @param earlier ages of the orders of its predecessors, in nanoseconds; never above the true age
 */
public record OrderAges(Map<String, Long> own, Map<String, Long> earlier) {
    /** Ages without any order inside the quiet period. */
    public static final OrderAges NONE = new OrderAges(Map.of(), Map.of());

    /** Copies the ages. */
    public OrderAges {
        own = Map.copyOf(own);
        earlier = Map.copyOf(earlier);
    }

    /**
     * Returns the ages as a holder on another VM takes them over: all orders are those of earlier
     * holders.
     */
    public OrderAges asEarlier() {
        Map<String, Long> all = new TreeMap<>(earlier);
        own.forEach((id, age) -> all.merge(id, age, Math::min));
        return new OrderAges(Map.of(), all);
    }

    /** Returns the number of endpoints with an order inside the quiet period. */
    public int size() {
        return asEarlier().earlier().size();
    }
}
