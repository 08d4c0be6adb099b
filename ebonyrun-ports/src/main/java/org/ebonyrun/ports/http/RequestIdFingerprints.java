package org.ebonyrun.ports.http;

import java.util.BitSet;

/**
 * The set of the request IDs that were sent on a connection, stored as fingerprints of fixed size.
 *
 * <p>Lookups have no false negatives. A false positive costs the user of this set one additional
 * connection.
 *
 * <p>Not thread safe.
 */
final class RequestIdFingerprints {
    private static final int FINGERPRINT_BITS = 12;
    // Keeps the rate of false positives below one in eight.
    private static final int MAX_IDS = (1 << FINGERPRINT_BITS) / 8;
    // The multiplier of Fibonacci hashing: 2^32 divided by the golden ratio.
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private final BitSet mFingerprints = new BitSet();
    private int mCount;

    void add(String id) {
        mFingerprints.set(fingerprint(id));
        mCount++;
    }

    boolean mayContain(String id) {
        return mFingerprints.get(fingerprint(id));
    }

    /** Returns whether so many IDs were added that false positives would become too frequent. */
    boolean isFull() {
        return mCount >= MAX_IDS;
    }

    private static int fingerprint(String id) {
        return id.hashCode() * HASH_MULTIPLIER >>> Integer.SIZE - FINGERPRINT_BITS;
    }
}
