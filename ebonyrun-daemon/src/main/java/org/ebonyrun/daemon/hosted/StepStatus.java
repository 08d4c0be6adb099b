package org.ebonyrun.daemon.hosted;

import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * The status of one step as its live keys in the shared store show it: its manifest, its owner, and
 * whether it was ended or is done.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StepStatus {
    private static final OwnerKey ABSENT = new OwnerKey(Transaction.ABSENT, 0);

    @Nullable StepManifest mManifest;
    @Nullable String mOwner;
    OwnerKey mOwnerKey = ABSENT;
    boolean mEnded;
    boolean mDone;

    /**
     * Returns whether a process must give the step up: it was ended, it is done, or another process
     * has written the owner key since.
     *
     * @param written the owner key as the process wrote it
     */
    boolean isTakenFrom(ProcessName process, OwnerKey written) {
        boolean replaced =
                mOwner != null
                        && !mOwner.equals(process.format())
                        && mOwnerKey.revision() > written.revision();
        return mEnded || mDone || replaced;
    }

    /** Sets the owner key; null if it is absent. */
    void setOwner(@Nullable StoreItem item) {
        mOwner = item == null ? null : item.text();
        mOwnerKey = item == null ? ABSENT : OwnerKey.of(item);
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
