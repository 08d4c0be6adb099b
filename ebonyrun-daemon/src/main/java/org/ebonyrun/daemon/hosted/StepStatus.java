package org.ebonyrun.daemon.hosted;

import org.jspecify.annotations.Nullable;

/**
 * What the live keys of one step say.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class StepStatus {
    @Nullable StepManifest mManifest;
    @Nullable String mOwner;
    long mOwnerRevision;
    boolean mEnded;
    boolean mDone;

    /** Returns whether no live key of the step is left. */
    boolean hasNoKeys() {
        return mManifest == null && mOwner == null && !mEnded && !mDone;
    }

    /**
     * Returns whether a process must see to the step: nobody owns it, an earlier process of the
     * same VM does, which can't run any more, or the process itself does.
     */
    boolean isOwnedOrClaimableBy(ProcessName self) {
        boolean open = mManifest != null && !mEnded && !mDone;
        boolean own = mOwner != null && mOwner.equals(self.format());
        return open && (mOwner == null || own || self.isSuccessorOf(mOwner));
    }
}
