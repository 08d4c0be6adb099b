package org.ebonyrun.core.swap;

import java.util.Map;
import java.util.TreeMap;

/**
 * How long ago endpoints were ordered, by the id of the endpoint. An endpoint that is missing was
 * ordered so long ago that its order no longer counts for another holder, or never. An age below
 * zero means that the order may still be on its way for that time.
 *
 * @param own ages of the orders of one holder, in nanoseconds; never above the true age
 * @param earlier ages of the orders of holders before it, in nanoseconds; never above the true age
 */
public record OrderAges(Map<String, Long> own, Map<String, Long> earlier) {
    /** No order that still counts. */
    public static final OrderAges NONE = new OrderAges(Map.of(), Map.of());

    /** Copies the ages. */
    public OrderAges {
        own = Map.copyOf(own);
        earlier = Map.copyOf(earlier);
    }

    /** Returns the same ages as they are for a holder on another VM. */
    public OrderAges asEarlier() {
        Map<String, Long> all = new TreeMap<>(earlier);
        own.forEach((id, age) -> all.merge(id, age, Math::min));
        return new OrderAges(Map.of(), all);
    }

    /** Returns how many orders still count. */
    public int size() {
        return asEarlier().earlier().size();
    }
}
