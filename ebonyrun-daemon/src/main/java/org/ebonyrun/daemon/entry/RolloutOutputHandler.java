package org.ebonyrun.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.core.rollout.RolloutMachine;
import org.ebonyrun.core.rollout.RolloutOutputs;
import org.ebonyrun.core.rollout.StepManifest;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.core.routing.Work;
import org.ebonyrun.daemon.link.PeerLink;
import org.jspecify.annotations.Nullable;

/** Carries out the outputs of the rollout state machine. Confined to its event loop. */
final class RolloutOutputHandler implements RolloutOutputs {
    private static final ClassName SCORING_CLASS = ClassName.of("scoring");
    private static final long SCORE_TIMEOUT_NANOS = Nanos.ofMillis(3_000);

    private final EntryContext mContext;
    private final LeaseOutputs mLeaseOutputs;

    RolloutOutputHandler(EntryContext context) {
        mContext = context;
        mLeaseOutputs =
                new LeaseOutputHandler<RolloutMachine>(
                        () -> context.mLeaseClient, () -> context.mRolloutLoop);
    }

    @Override
    public void acquire(String key) {
        mLeaseOutputs.acquire(key);
    }

    @Override
    public void renew(String key, long revision) {
        mLeaseOutputs.renew(key, revision);
    }

    @Override
    public void storeManifest(StepManifest manifest) {
        mContext.mManifestStore
                .store(manifest)
                .thenAccept(
                        result -> {
                            Optional<Fault> fault =
                                    result.fold(ok -> Optional.empty(), Optional::of);
                            mContext.mRolloutLoop.post(
                                    (machine, now) ->
                                            machine.onManifestStored(manifest, fault, now));
                        });
    }

    @Override
    public void loadManifest(TrainerId trainer, long step) {
        mContext.mManifestStore
                .load(trainer, step)
                .thenAccept(
                        result -> {
                            StepManifest manifest =
                                    result.<@Nullable StepManifest>fold(
                                            found -> found.orElse(null), fault -> null);
                            Optional<Fault> fault =
                                    result.fold(ok -> Optional.empty(), Optional::of);
                            mContext.mRolloutLoop.post(
                                    (machine, now) ->
                                            machine.onManifestLoaded(
                                                    trainer, step, manifest, fault, now));
                        });
    }

    @Override
    public void deleteManifest(TrainerId trainer, long step, int slots) {
        mContext.mManifestStore.delete(trainer, step);
    }

    @Override
    public void submit(Work work) {
        mContext.mDispatchLoop.post((machine, now) -> machine.submit(work, now));
    }

    @Override
    public void cancel(long workId) {
        mContext.mDispatchLoop.post((machine, now) -> machine.cancel(workId));
    }

    @Override
    public void detach(long workId) {
        mContext.mDispatchLoop.post((machine, now) -> machine.detach(workId));
    }

    @Override
    public void setMinVersion(TrainerId trainer, long version) {
        mContext.mDispatchLoop.post((machine, now) -> machine.setMinVersion(trainer, version, now));
    }

    @Override
    public boolean send(VmId vm, AttemptMessage message) {
        PeerLink peer = mContext.mPeersByVm.get(vm);
        return peer != null && peer.link().send(message);
    }

    @Override
    public void broadcast(ServiceName service, AttemptMessage message) {
        for (PeerLink peer : mContext.mPeersByVm.values()) {
            boolean isOfService =
                    peer.hello() != null && peer.hello().service().equals(service.value());
            if (isOfService) {
                peer.link().send(message);
            }
        }
    }

    @Override
    public void startScoring(ServiceName scorer, SampleKey key, byte[] content) {
        long now = System.nanoTime();
        long id = nextWorkId();
        Work work =
                new Work(
                        id,
                        WorkKind.CALL,
                        scorer,
                        SCORING_CLASS,
                        0,
                        now,
                        now + SCORE_TIMEOUT_NANOS,
                        now + SCORE_TIMEOUT_NANOS,
                        true,
                        false,
                        "/score",
                        "text/plain",
                        content,
                        0,
                        null,
                        0);
        mContext.mCallListeners.put(id, new ScoreListener(key));
        mContext.mDispatchLoop.post((machine, at) -> machine.submit(work, at));
    }

    @Override
    public void forward(LeaseHolder owner, long requestId, StepRequest request) {
        mContext.mPendingStepRequests.forward(owner, requestId, request);
    }

    @Override
    public void reply(long requestId, StepReply reply) {
        mContext.mPendingStepRequests.complete(requestId, reply);
    }

    @Override
    public void recordTrainerIdleTime(TrainerId trainer, long nanos) {
        mContext.mMetrics.recordTrainerIdleTime(trainer.value(), (double) nanos / Nanos.PER_SECOND);
    }

    @Override
    public void recordDeliveredSample(TrainerId trainer, long age) {
        mContext.mMetrics.recordDeliveredSample(trainer.value(), age);
    }

    @Override
    public long nextWorkId() {
        return mContext.mWorkIds.incrementAndGet();
    }

    /** Posts a score to the rollout event loop. Called on the dispatch event loop. */
    private final class ScoreListener implements CallListener {
        private final SampleKey mKey;

        ScoreListener(SampleKey key) {
            mKey = key;
        }

        @Override
        public void onPiece(byte[] data) {}

        @Override
        public void onAnswer(Work work, Answer answer) {
            boolean success = answer.status() / 100 == 2;
            postScore(success ? new String(answer.body(), StandardCharsets.UTF_8).strip() : null);
        }

        @Override
        public void onFault(Fault fault) {
            postScore(null);
        }

        private void postScore(@Nullable String score) {
            mContext.mRolloutLoop.post((machine, now) -> machine.onScored(mKey, score, now));
        }
    }
}
