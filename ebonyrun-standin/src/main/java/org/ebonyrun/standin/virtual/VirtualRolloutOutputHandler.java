package org.ebonyrun.standin.virtual;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.core.rollout.RolloutOutputs;
import org.ebonyrun.core.rollout.StepManifest;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.core.routing.Work;
import org.jspecify.annotations.Nullable;

/** Performs the outputs of a virtual entry's rollout machine. Not thread safe. */
final class VirtualRolloutOutputHandler implements RolloutOutputs {
    private final VirtualEntry mEntry;
    private final LeaseOutputs mLeases;

    VirtualRolloutOutputHandler(VirtualEntry entry) {
        mEntry = entry;
        mLeases = new VirtualLeaseOutputHandler(entry, () -> entry.mRollout);
    }

    @Override
    public void acquire(String key) {
        mLeases.acquire(key);
    }

    @Override
    public void renew(String key, long revision) {
        mLeases.renew(key, revision);
    }

    @Override
    public void storeManifest(StepManifest manifest) {
        mEntry.mDeployment.performWithFault(
                InjectionPoint.MANIFEST_STORE, Participants.ofEntry(mEntry), () -> store(manifest));
    }

    private void store(StepManifest manifest) {
        mEntry.whenDone(
                mEntry.mManifests.store(manifest),
                result -> mEntry.mRollout.onManifestStored(manifest, fault(result), mEntry.now()));
    }

    @Override
    public void loadManifest(TrainerId trainer, long step) {
        mEntry.whenDone(
                mEntry.mManifests.load(trainer, step),
                result -> onManifestLoaded(trainer, step, result));
    }

    private void onManifestLoaded(
            TrainerId trainer, long step, Result<Optional<StepManifest>> result) {
        StepManifest manifest =
                result.<@Nullable StepManifest>fold(found -> found.orElse(null), fault -> null);
        mEntry.mRollout.onManifestLoaded(trainer, step, manifest, fault(result), mEntry.now());
    }

    private static <T> Optional<Fault> fault(Result<T> result) {
        return result.fold(value -> Optional.empty(), Optional::of);
    }

    @Override
    public void deleteManifest(TrainerId trainer, long step, int slots) {
        mEntry.mManifests.delete(trainer, step);
    }

    @Override
    public void submit(Work work) {
        mEntry.post(() -> mEntry.mDispatcher.submit(work, mEntry.now()));
    }

    @Override
    public void cancel(long workId) {
        mEntry.post(() -> mEntry.mDispatcher.cancel(workId));
    }

    @Override
    public void detach(long workId) {
        mEntry.post(() -> mEntry.mDispatcher.detach(workId));
    }

    @Override
    public void setMinVersion(TrainerId trainer, long version) {
        mEntry.post(() -> mEntry.mDispatcher.setMinVersion(trainer, version, mEntry.now()));
    }

    @Override
    public boolean send(VmId vm, AttemptMessage message) {
        VirtualLink link = mEntry.mLinksByVm.get(vm);
        return link != null && link.sendToAgent(message);
    }

    @Override
    public void broadcast(ServiceName service, AttemptMessage message) {
        for (VirtualLink link : List.copyOf(mEntry.mLinksByVm.values())) {
            if (link.mAgent.mService.equals(service)) {
                link.sendToAgent(message);
            }
        }
    }

    @Override
    public void startScoring(ServiceName scorer, SampleKey key, byte[] content) {
        mEntry.post(() -> mEntry.mRollout.onScored(key, "1", mEntry.now()));
    }

    @Override
    public void forward(LeaseHolder owner, long requestId, StepRequest request) {
        Consumer<StepReply> replyHandler = mEntry.mReplyHandlers.get(requestId);
        Consumer<StepReply> sink =
                reply -> {
                    if (replyHandler != null) {
                        replyHandler.accept(reply);
                    }
                };
        Fault unreachable =
                Fault.unknown(
                        FaultCode.OWNER_UNAVAILABLE,
                        "step.forward",
                        "",
                        "the owner is unreachable");
        mEntry.mDeployment.forward(
                mEntry,
                owner,
                request,
                sink,
                () -> {
                    mEntry.mRollout.onOwnerUnreachable(request.trainer(), mEntry.now());
                    sink.accept(StepReply.failed(unreachable.withRetryAfterMillis(300)));
                });
    }

    @Override
    public void reply(long requestId, StepReply reply) {
        Consumer<StepReply> sink = mEntry.mReplyHandlers.remove(requestId);
        if (sink != null) {
            sink.accept(reply);
        }
    }

    @Override
    public void recordTrainerIdleTime(TrainerId trainer, long nanos) {}

    @Override
    public void recordDeliveredSample(TrainerId trainer, long age) {}

    @Override
    public long nextWorkId() {
        return mEntry.nextId();
    }
}
