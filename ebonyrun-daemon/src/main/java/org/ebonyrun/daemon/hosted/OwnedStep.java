package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.memory.MemoryClaim;
import org.jspecify.annotations.Nullable;

/**
 * A step that this entry owns.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class OwnedStep {
    /** The step's owner key as this entry last wrote it. */
    OwnerKey mOwnerKey;

    /** Whether its samples run. A new step may first wait for texts of its predecessor. */
    boolean mRunning;

    /** The results that are being stored; null if there are none. */
    @Nullable PendingResults mPending;

    /** When a checkpoint was last due, by {@link System#nanoTime}. */
    long mLastCheckpointAt = System.nanoTime();

    private final @Nullable MemoryClaim mMemory;

    OwnedStep(OwnerKey ownerKey) {
        this(ownerKey, null);
    }

    /**
     * Creates an instance.
     *
     * @param memory the claim of the samples' memory, which this object holds from now on
     */
    OwnedStep(OwnerKey ownerKey, @Nullable MemoryClaim memory) {
        mOwnerKey = ownerKey;
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
