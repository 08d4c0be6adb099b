package org.ebonyrun.daemon.hosted;

/**
 * Results of one step that are being stored, and the state of the store calls for them.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class PendingResults {
    /** The position of the first result in the step's result list. */
    final int mPosition;

    /** The encoded results. */
    final byte[] mValue;

    /** The encoded checkpoint that is stored with the results; empty if there is none. */
    final byte[] mCheckpoint;

    /** Whether these are the last results of the step. */
    final boolean mLast;

    /** Whether a store call for these results is in flight. */
    boolean mInFlight;

    /** Whether the step's owner key has expired and must be claimed before the results are sent. */
    boolean mNeedsClaim;

    /** When to retry after a failed call, by {@link System#nanoTime}. */
    long mRetryAt;

    PendingResults(int position, byte[] value, byte[] checkpoint, boolean last) {
        mPosition = position;
        mValue = value;
        mCheckpoint = checkpoint;
        mLast = last;
    }
}
