package org.ebonyrun.daemon.hosted;

import org.jspecify.annotations.Nullable;

/**
 * A step that this entry owns.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class OwnedStep {
    /** The revision of the owner's key, as this entry wrote it. */
    long mOwnerRevision;

    /** Whether its samples run; a new step first waits for texts of the step before. */
    boolean mRunning;

    @Nullable PendingResults mPending;
    long mLastCheckpointAt = System.nanoTime();

    OwnedStep(long revision) {
        mOwnerRevision = revision;
    }
}
