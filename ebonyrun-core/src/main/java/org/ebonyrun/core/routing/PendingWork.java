package org.ebonyrun.core.routing;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Set;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.VmId;
import org.jspecify.annotations.Nullable;

/** Work in progress at an entry. Not thread safe; confined to the dispatch duty. */
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

    /** Forgets what the last attempt brought. */
    void resetAttempt() {
        mAttemptId = null;
        mVm = null;
        mPieces = 0;
        mBody.reset();
    }
}
