package org.ebonyrun.ports.kv;

/**
 * A stored value.
 *
 * @param key the key
 * @param value the value
 * @param revision the revision of the write that stored it; increases across all keys
 */
public record KeyValueEntry(String key, byte[] value, long revision) {}
