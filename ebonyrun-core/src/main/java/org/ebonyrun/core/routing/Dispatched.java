package org.ebonyrun.core.routing;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Set;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.VmId;
import org.jspecify.annotations.Nullable;

/** Work in progress at an entry. Not thread safe; confined to the dispatch duty. */
final class Dispatched {
    final Work mWork;
    final Set<VmId> mRefusedBy = new HashSet<>();
    final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    @Nullable AttemptId mAttempt;
    @Nullable VmId mVm;
    long mOfferedAt;
    int mPieces;
    int mFailures;
    boolean mPassedOn;
    boolean mMayHaveRun;

    Dispatched(Work work) {
        mWork = work;
    }

    /** Forgets what the last attempt brought. */
    void reset() {
        mAttempt = null;
        mVm = null;
        mPieces = 0;
        mBody.reset();
    }
}
