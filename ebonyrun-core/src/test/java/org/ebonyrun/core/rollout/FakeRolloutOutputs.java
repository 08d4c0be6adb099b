package org.ebonyrun.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.routing.Work;

/** Records the outputs of the rollout state machine. Not thread safe; used by one test. */
final class FakeRolloutOutputs implements RolloutOutputs {
    final List<String> mStoreRequests = new ArrayList<>();
    final List<Work> mSubmittedWork = new ArrayList<>();
    final List<Long> mCancelledWork = new ArrayList<>();
    final List<SampleKey> mFetches = new ArrayList<>();
    final List<AttemptMessage> mBroadcasts = new ArrayList<>();
    final List<SampleKey> mReleasedSamples = new ArrayList<>();
    final Map<Long, StepReply> mReplies = new HashMap<>();
    final List<VmId> mForwardedTo = new ArrayList<>();
    private long mLastWorkId;

    @Override
    public void acquire(String key) {
        mStoreRequests.add("acquire " + key);
    }

    @Override
    public void renew(String key, long revision) {
        mStoreRequests.add("renew " + key);
    }

    @Override
    public void storeManifest(StepManifest manifest) {
        mStoreRequests.add("store " + manifest.step());
    }

    @Override
    public void loadManifest(TrainerId trainer, long step) {
        mStoreRequests.add("load " + step);
    }

    @Override
    public void deleteManifest(TrainerId trainer, long step, int slots) {
        mStoreRequests.add("delete " + step);
    }

    @Override
    public void submit(Work work) {
        mSubmittedWork.add(work);
    }

    @Override
    public void cancel(long workId) {
        mCancelledWork.add(workId);
    }

    @Override
    public void detach(long workId) {}

    @Override
    public void setMinVersion(TrainerId trainer, long version) {}

    @Override
    public boolean send(VmId vm, AttemptMessage message) {
        if (message instanceof AttemptMessage.FetchSample fetch) {
            mFetches.add(fetch.key());
        } else if (message instanceof AttemptMessage.ReleaseSamples release) {
            mReleasedSamples.addAll(release.keys());
        }
        return true;
    }

    @Override
    public void broadcast(ServiceName service, AttemptMessage message) {
        mBroadcasts.add(message);
    }

    @Override
    public void startScoring(ServiceName scorer, SampleKey key, byte[] content) {}

    @Override
    public void forward(LeaseHolder owner, long requestId, StepRequest request) {
        mForwardedTo.add(owner.vm());
    }

    @Override
    public void reply(long requestId, StepReply reply) {
        mReplies.put(requestId, reply);
    }

    @Override
    public void recordTrainerIdleTime(TrainerId trainer, long nanos) {}

    @Override
    public void recordDeliveredSample(TrainerId trainer, long age) {}

    @Override
    public long nextWorkId() {
        return ++mLastWorkId;
    }
}
