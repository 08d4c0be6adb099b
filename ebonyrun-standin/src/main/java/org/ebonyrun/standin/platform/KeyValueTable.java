package org.ebonyrun.standin.platform;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ebonyrun.ports.kv.KeyValueEntry;
import org.ebonyrun.ports.kv.KeyValueStore;
import org.ebonyrun.ports.kv.WriteOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The state of a key-value service with conditional writes and keys with a time to live.
 *
 * <p>Thread safe: every method holds the table's monitor. Callers pass the current time, in
 * milliseconds of one clock.
 */
public final class KeyValueTable {
    private static final long NEVER = Long.MAX_VALUE;

    private final Map<String, Stored> mEntries = new TreeMap<>();
    private long mRevision;

    /** A value, its revision, and its time of expiry in milliseconds of the caller's clock. */
    private record Stored(byte[] value, long revision, long expiresAt) {}

    /** Creates an empty table. */
    public KeyValueTable() {}

    /** Returns an entry, or null if it is absent or has expired. */
    public synchronized @Nullable KeyValueEntry get(String key, long nowMillis) {
        removeExpired(nowMillis);
        Stored stored = mEntries.get(key);
        return stored == null ? null : new KeyValueEntry(key, stored.value(), stored.revision());
    }

    /** Returns the entries whose keys start with a prefix, sorted by key. */
    public synchronized List<KeyValueEntry> list(String prefix, long nowMillis) {
        removeExpired(nowMillis);
        List<KeyValueEntry> found = new ArrayList<>();
        mEntries.forEach(
                (key, stored) -> {
                    if (key.startsWith(prefix)) {
                        found.add(new KeyValueEntry(key, stored.value(), stored.revision()));
                    }
                });
        return found;
    }

    /** Writes a key if it has the expected revision; otherwise returns the current revision. */
    public synchronized WriteOutcome put(
            String key, byte[] value, long expected, long ttlMillis, long nowMillis) {
        removeExpired(nowMillis);
        if (revision(key) != expected) {
            return new WriteOutcome(false, revision(key));
        }
        long expiresAt = expiryTime(ttlMillis, nowMillis);
        mEntries.put(key, new Stored(value, ++mRevision, expiresAt));
        return new WriteOutcome(true, mRevision);
    }

    /** Renews a key's time to live if it has the expected revision; its revision stays the same. */
    public synchronized WriteOutcome renew(
            String key, long expected, long ttlMillis, long nowMillis) {
        removeExpired(nowMillis);
        Stored stored = mEntries.get(key);
        if (stored == null || stored.revision() != expected) {
            return new WriteOutcome(false, revision(key));
        }
        long expiresAt = expiryTime(ttlMillis, nowMillis);
        mEntries.put(key, new Stored(stored.value(), expected, expiresAt));
        return new WriteOutcome(true, expected);
    }

    /** Deletes a key if it has the expected revision; otherwise returns the current revision. */
    public synchronized WriteOutcome delete(String key, long expected, long nowMillis) {
        removeExpired(nowMillis);
        if (revision(key) != expected) {
            return new WriteOutcome(false, revision(key));
        }
        mEntries.remove(key);
        return new WriteOutcome(true, ++mRevision);
    }

    private long revision(String key) {
        Stored stored = mEntries.get(key);
        return stored == null ? KeyValueStore.ABSENT : stored.revision();
    }

    private static long expiryTime(long ttlMillis, long nowMillis) {
        return ttlMillis == KeyValueStore.NO_EXPIRY_MILLIS ? NEVER : nowMillis + ttlMillis;
    }

    private void removeExpired(long nowMillis) {
        Iterator<Stored> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            if (entries.next().expiresAt() <= nowMillis) {
                entries.remove();
            }
        }
    }
}
