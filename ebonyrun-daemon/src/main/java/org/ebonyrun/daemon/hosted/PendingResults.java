package org.ebonyrun.daemon.hosted;

/**
 * Results that are being stored.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class PendingResults {
    final int mPosition;
    final byte[] mValue;
    final byte[] mPartial;
    final boolean mLast;
    boolean mCalling;
    boolean mClaim;
    long mRetryAt;

    PendingResults(int position, byte[] value, byte[] partial, boolean last) {
        mPosition = position;
        mValue = value;
        mPartial = partial;
        mLast = last;
    }
}
