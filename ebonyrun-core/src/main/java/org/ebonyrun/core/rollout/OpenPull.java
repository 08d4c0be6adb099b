package org.ebonyrun.core.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A pull that waits for its answer. Not thread safe; confined to the rollout duty. */
final class OpenPull {
    final long mRequestId;
    final Cursor mCursor;
    final long mVersion;
    final int mMax;
    final long mOpenedAt;
    final long mDeadline;
    final BitSet mFetching = new BitSet();
    final List<Sample> mSamples = new ArrayList<>();
    long mFetchDeadline;

    OpenPull(long requestId, Cursor cursor, long version, int max, long openedAt, long deadline) {
        mRequestId = requestId;
        mCursor = cursor;
        mVersion = version;
        mMax = max;
        mOpenedAt = openedAt;
        mDeadline = deadline;
    }

    /** Returns the cursor that includes the collected samples. */
    Cursor next() {
        BitSet given = new BitSet();
        mSamples.forEach(sample -> given.set(sample.slot()));
        return mCursor.with(given);
    }
}
