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

    /**
     * Returns whether a process must take the step: nobody owns it, or an earlier process of the
     * same VM does, which can't run any more.
     */
    boolean isOrphan(ProcessName self) {
        boolean open = mManifest != null && !mEnded && !mDone;
        return open && (mOwner == null || self.isSuccessorOf(mOwner));
    }
}
