package org.ebonyrun.core.rollout;

import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.attempt.SampleInfo;
import org.jspecify.annotations.Nullable;

/**
 * The state that a step's owner keeps of one slot. Not thread safe; confined to the rollout event
 * loop.
 */
final class Slot {
    /** The phases of a slot. */
    enum Phase {
        /** No attempt runs and no sample is held. */
        PENDING,
        /** Its work was submitted to the dispatcher. */
        SUBMITTED,
        /**
         * An agent may run it or hold its sample: the step was taken over from another owner and
         * the agents have not reported all of it, or the agent's link was lost.
         */
        ADOPTED,
        /** An agent holds its finished sample, which has no score yet. */
        SCORING,
        /** An agent holds its finished sample, which is ready for delivery. */
        READY,
        /** The trainer has acknowledged its sample. */
        DELIVERED
    }

    final int mIndex;
    final int mGroup;
    Phase mPhase = Phase.PENDING;
    long mWorkId;
    // The hedged attempt's work; zero if there is none.
    long mHedgeWorkId;
    long mSubmittedAt;
    // The VM whose agent holds the sample or runs the adopted attempt.
    @Nullable VmId mVm;
    @Nullable SampleInfo mInfo;
    @Nullable String mScore;
    // When to run the slot again, or to fetch its content again for scoring.
    long mRetryAt;

    Slot(int index, int group) {
        mIndex = index;
        mGroup = group;
    }

    /** Discards the slot's attempt or sample, so that the slot can run again. */
    void reset() {
        mPhase = Phase.PENDING;
        mHedgeWorkId = 0;
        mVm = null;
        mInfo = null;
        mScore = null;
    }
}
