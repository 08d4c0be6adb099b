package org.ebonyrun.core.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A pull that has not been replied to yet. Not thread safe; confined to the rollout event loop. */
final class PendingPull {
    final long mRequestId;
    final Cursor mCursor;
    // The trainer's weight version.
    final long mVersion;
    final int mMaxSamples;
    final long mOpenedAt;
    final long mDeadline;
    // Slots whose content was requested from their agents.
    final BitSet mPendingFetches = new BitSet();
    // Samples whose content has arrived.
    final List<Sample> mSamples = new ArrayList<>();
    long mFetchDeadline;

    PendingPull(
            long requestId,
            Cursor cursor,
            long version,
            int maxSamples,
            long openedAt,
            long deadline) {
        mRequestId = requestId;
        mCursor = cursor;
        mVersion = version;
        mMaxSamples = maxSamples;
        mOpenedAt = openedAt;
        mDeadline = deadline;
    }

    /** Returns the pull's cursor extended by the samples that were collected for the reply. */
    Cursor nextCursor() {
        BitSet collected = new BitSet();
        mSamples.forEach(sample -> collected.set(sample.slot()));
        return mCursor.withSlots(collected);
    }
}
