package org.ebonyrun.ports.http;

import java.util.BitSet;

/**
 * The ids of the requests that a connection has carried, as fingerprints of constant size.
 *
 * <p>Never forgets an id. It may claim an id that was not carried, which costs its caller another
 * connection.
 *
 * <p>Not thread safe.
 */
final class RequestIdFingerprints {
    private static final int FINGERPRINT_BITS = 12;
    // Keeps wrong claims below one in eight.
    private static final int MAX_IDS = (1 << FINGERPRINT_BITS) / 8;
    // Spreads the bits of a hash code; 2^32 divided by the golden ratio.
    private static final int SPREAD = 0x9E3779B9;

    private final BitSet mFingerprints = new BitSet();
    private int mCount;

    void add(String id) {
        mFingerprints.set(fingerprint(id));
        mCount++;
    }

    boolean mayContain(String id) {
        return mFingerprints.get(fingerprint(id));
    }

    /** Returns whether so many ids were added that wrong claims become frequent. */
    boolean isFull() {
        return mCount >= MAX_IDS;
    }

    private static int fingerprint(String id) {
        return id.hashCode() * SPREAD >>> Integer.SIZE - FINGERPRINT_BITS;
    }
}
