package org.ebonyrun.daemon.hosted;

/**
 * Results that are being stored.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class PendingResults {
    final int mPosition;
    final byte[] mValue;
    final byte[] mCheckpoint;
    final boolean mLast;
    boolean mInFlight;
    boolean mNeedsClaim;
    long mRetryAt;

    PendingResults(int position, byte[] value, byte[] partial, boolean last) {
        mPosition = position;
        mValue = value;
        mCheckpoint = partial;
        mLast = last;
    }
}
