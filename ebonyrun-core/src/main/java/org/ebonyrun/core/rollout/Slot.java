package org.ebonyrun.core.rollout;

import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.attempt.SampleInfo;
import org.jspecify.annotations.Nullable;

/** One slot of a step at its owner. Not thread safe; confined to the rollout duty. */
final class Slot {
    /** Where a slot stands. */
    enum Phase {
        /** Nothing of it is known. */
        PENDING,
        /** The dispatch duty has it. */
        SUBMITTED,
        /** An agent has reported that it still runs, from before this process owned the step. */
        ADOPTED,
        /** Finished, and waiting for its score. */
        SCORING,
        /** Finished and held by an agent. */
        READY,
        /** The trainer has it. */
        DELIVERED
    }

    final int mIndex;
    final int mGroup;
    Phase mPhase = Phase.PENDING;
    long mWorkId;
    long mHedgeWorkId;
    long mSubmittedAt;
    @Nullable VmId mVm;
    @Nullable SampleInfo mInfo;
    @Nullable String mScore;
    long mRetryAt;

    Slot(int index, int group) {
        mIndex = index;
        mGroup = group;
    }

    /** Forgets a finished sample, so that the slot runs again. */
    void reset() {
        mPhase = Phase.PENDING;
        mHedgeWorkId = 0;
        mVm = null;
        mInfo = null;
        mScore = null;
    }
}
