package org.ebonyrun.ports.store;

import java.util.List;

/**
 * The answer to a read of keys.
 *
 * @param items the items, ordered by key
 * @param truncated whether more keys follow the last item
 * @param revision the store's revision at the time of the read
 */
public record StorePage(List<StoreItem> items, boolean truncated, long revision) {
    /** Copies the items. */
    public StorePage {
        items = List.copyOf(items);
    }
}
