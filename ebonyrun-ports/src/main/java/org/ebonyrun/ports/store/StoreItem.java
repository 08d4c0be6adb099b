package org.ebonyrun.ports.store;

import java.nio.charset.StandardCharsets;

/**
 * A key with its value.
 *
 * <p>Immutable by convention: the value is not copied and must not be changed.
 *
 * @param key the key
 * @param value the value
 * @param revision the store revision of the last write to the key
 * @param lease the lease that the key is attached to; zero for none
 */
public record StoreItem(String key, byte[] value, long revision, long lease) {
    /** Returns the value as UTF-8 text. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
