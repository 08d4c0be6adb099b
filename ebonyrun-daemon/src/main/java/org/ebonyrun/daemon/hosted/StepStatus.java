package org.ebonyrun.daemon.hosted;

import org.jspecify.annotations.Nullable;

/**
 * The status of one step as its live keys in the shared store show it: its manifest, its owner, and
 * whether it was ended or is done.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StepStatus {
    @Nullable StepManifest mManifest;
    @Nullable String mOwner;
    long mOwnerRevision;
    boolean mEnded;
    boolean mDone;

    /**
     * Returns whether a process that wrote the owner key at a revision must give the step up: it
     * was ended, it is done, or another process has written the key since.
     */
    boolean isTakenFrom(ProcessName process, long ownerRevision) {
        boolean replaced =
                mOwner != null
                        && !mOwner.equals(process.format())
                        && mOwnerRevision > ownerRevision;
        return mEnded || mDone || replaced;
    }

    /** Returns whether the store has no live key of the step. */
    boolean hasNoKeys() {
        return mManifest == null && mOwner == null && !mEnded && !mDone;
    }

    /**
     * Returns whether the step is open and the process owns it or may claim it. A step may be
     * claimed if it has no owner, or if its owner is an earlier process of the same VM, which can
     * no longer be running.
     */
    boolean isOwnedOrClaimableBy(ProcessName self) {
        boolean open = mManifest != null && !mEnded && !mDone;
        boolean own = mOwner != null && mOwner.equals(self.format());
        return open && (mOwner == null || own || self.isSuccessorOf(mOwner));
    }
}
