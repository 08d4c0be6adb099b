package org.ebonyrun.ports.store;

import org.jspecify.annotations.Nullable;

/**
 * A change of one key.
 *
 * @param key the key
 * @param revision the store revision of the change
 * @param item the item as it was written; null if the key was removed
 */
public record StoreChange(String key, long revision, @Nullable StoreItem item) {}
