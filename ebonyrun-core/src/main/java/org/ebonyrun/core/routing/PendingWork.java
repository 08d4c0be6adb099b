package org.ebonyrun.core.routing;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Set;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.VmId;
import org.jspecify.annotations.Nullable;

/** Unfinished work at an entry. Not thread safe; confined to the dispatch event loop. */
final class PendingWork {
    final Work mWork;
    final Set<VmId> mExcludedVms = new HashSet<>();
    final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    @Nullable AttemptId mAttemptId;
    @Nullable VmId mVm;
    long mOfferedAt;
    int mPieces;
    int mFailures;
    boolean mPieceForwarded;
    boolean mMayHaveRun;

    PendingWork(Work work) {
        mWork = work;
    }

    /** Clears the state of the last attempt. */
    void resetAttempt() {
        mAttemptId = null;
        mVm = null;
        mPieces = 0;
        mBody.reset();
    }
}
