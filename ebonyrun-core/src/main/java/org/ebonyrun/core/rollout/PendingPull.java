package org.ebonyrun.core.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A pull that waits for its answer. Not thread safe; confined to the rollout duty. */
final class PendingPull {
    final long mRequestId;
    final Cursor mCursor;
    final long mVersion;
    final int mMaxSamples;
    final long mOpenedAt;
    final long mDeadline;
    final BitSet mPendingFetches = new BitSet();
    final List<Sample> mSamples = new ArrayList<>();
    long mFetchDeadline;

    PendingPull(
            long requestId, Cursor cursor, long version, int max, long openedAt, long deadline) {
        mRequestId = requestId;
        mCursor = cursor;
        mVersion = version;
        mMaxSamples = max;
        mOpenedAt = openedAt;
        mDeadline = deadline;
    }

    /** Returns the cursor that includes the collected samples. */
    Cursor nextCursor() {
        BitSet given = new BitSet();
        mSamples.forEach(sample -> given.set(sample.slot()));
        return mCursor.withSlots(given);
    }
}
