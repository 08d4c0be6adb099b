package org.ebonyrun.daemon.hosted;

import org.jspecify.annotations.Nullable;

/**
 * What the live keys of one step say.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class KnownStep {
    @Nullable StepManifest mManifest;
    @Nullable String mOwner;
    long mOwnerRevision;
    boolean mEnded;
    boolean mDone;

    /** Returns whether somebody must take the step. */
    boolean isOrphan() {
        return mManifest != null && mOwner == null && !mEnded && !mDone;
    }
}
