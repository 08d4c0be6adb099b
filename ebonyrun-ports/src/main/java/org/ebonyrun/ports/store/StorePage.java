package org.ebonyrun.ports.store;

import java.util.List;

/**
 * A page of keys, as the result of a read.
 *
 * @param items the items, ordered by key
 * @param truncated whether more keys follow the last item
 * @param revision the store revision at the time of the read
 */
public record StorePage(List<StoreItem> items, boolean truncated, long revision) {
    /** Copies the items. */
    public StorePage {
        items = List.copyOf(items);
    }
}
