package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.memory.MemoryClaim;
import org.jspecify.annotations.Nullable;

/**
 * A step that this entry owns.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class OwnedStep {
    /** The revision at which this entry last wrote the step's owner key. */
    long mOwnerRevision;

    /** Whether its samples run. A new step may first wait for texts of its predecessor. */
    boolean mRunning;

    /** The results that are being stored; null if there are none. */
    @Nullable PendingResults mPending;

    /** When a checkpoint was last due, by {@link System#nanoTime}. */
    long mLastCheckpointAt = System.nanoTime();

    private final @Nullable MemoryClaim mMemory;

    OwnedStep(long revision) {
        this(revision, null);
    }

    /**
     * Creates an instance.
     *
     * @param memory the claim of the samples' memory, which this object holds from now on
     */
    OwnedStep(long revision, @Nullable MemoryClaim memory) {
        mOwnerRevision = revision;
        mMemory = memory;
    }

    /** Returns whether the results that are being stored are the last ones. */
    boolean storesLastResults() {
        return mPending != null && mPending.mLast;
    }

    /** Gives the memory of the samples back; called once, when the step is owned no longer. */
    void releaseMemory() {
        if (mMemory != null) {
            mMemory.release();
        }
    }
}
