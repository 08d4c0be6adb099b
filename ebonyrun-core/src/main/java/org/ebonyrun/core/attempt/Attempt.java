package org.ebonyrun.core.attempt;

import java.io.ByteArrayOutputStream;
import java.util.TreeSet;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.time.Nanos;

/** An open attempt at an agent. Not thread safe; confined to the attempt event loop. */
final class Attempt {
    /** Execution state of an attempt. */
    enum Phase {
        QUEUED,
        RUNNING
    }

    final AttemptId mId;
    final Job mJob;
    final long mLink;
    final long mTargetAt;
    final long mDeadline;
    final QueueOrder.QueuedWork mQueueKey;
    final TreeSet<Long> mVersions = new TreeSet<>();
    final ByteArrayOutputStream mContent = new ByteArrayOutputStream();
    Phase mPhase = Phase.QUEUED;
    long mStartedAt;
    int mPieces;
    int mTokens;

    Attempt(AttemptId id, Job job, long link, long arrival, long serviceMillis, long now) {
        mId = id;
        mJob = job;
        mLink = link;
        mDeadline = now + Nanos.ofMillis(job.timeoutMillis());
        mTargetAt = now + Nanos.ofMillis(job.targetMillis());
        long latestStart = mTargetAt - Nanos.ofMillis(serviceMillis);
        mQueueKey = new QueueOrder.QueuedWork(job.kind(), arrival, latestStart);
    }

    boolean isSample() {
        return mJob.kind() == WorkKind.SAMPLE;
    }

    WeightVersions versions() {
        return WeightVersions.copyOf(mVersions);
    }
}
