package org.ebonyrun.core.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.config.ClassKind;
import org.ebonyrun.core.config.ClassSpec;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.lease.Lease;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseRecord;
import org.ebonyrun.core.lease.LeaseState;
import org.jspecify.annotations.Nullable;

/**
 * The steps of one trainer in one entry. Requests are handled here if this process holds the
 * trainer's lease, forwarded if another process holds it, and queued while the holder is unknown.
 *
 * <p>Invariant: steps are in memory only while this process holds the trainer's lease.
 *
 * <p>A step that the trainer has not pulled from for half an hour is unloaded. Its manifest stays
 * stored, and a later pull loads it again.
 *
 * <p>Not thread safe; confined to the rollout event loop.
 */
final class TrainerSteps {
    // How long a request waits for the lease's holder to become known.
    private static final long OWNER_TIMEOUT_NANOS = Nanos.ofMillis(4_000);
    private static final long RETRY_AFTER_MILLIS = 500;

    private final TrainerId mTrainer;
    private final Lease mLease;
    private final CompletionRequestEncoder mRequestEncoder;
    private final StragglerPolicy mStragglerPolicy;
    private final RolloutOutputs mOutputs;
    private final Map<Long, Step> mSteps = new HashMap<>();
    private final Map<Long, List<PendingRequest>> mWaitingForStore = new HashMap<>();
    private final Map<Long, List<PendingRequest>> mWaitingForLoad = new HashMap<>();
    private final List<PendingRequest> mWaitingForOwner = new ArrayList<>();

    TrainerSteps(
            TrainerId trainer,
            LeaseHolder self,
            CompletionRequestEncoder requestEncoder,
            StragglerPolicy stragglerPolicy,
            RolloutOutputs outputs) {
        mTrainer = trainer;
        mLease = Lease.create("owner/" + trainer, self, outputs);
        mRequestEncoder = requestEncoder;
        mStragglerPolicy = stragglerPolicy;
        mOutputs = outputs;
    }

    /** A request that waits for the lease, or for the manifest to be stored or loaded. */
    private record PendingRequest(
            long requestId, StepRequest request, boolean forwarded, long deadline) {}

    Collection<Step> steps() {
        return mSteps.values();
    }

    Lease lease() {
        return mLease;
    }

    void onRequest(
            long requestId,
            StepRequest request,
            boolean forwarded,
            OperatorConfig config,
            long now) {
        PendingRequest pending =
                new PendingRequest(requestId, request, forwarded, now + OWNER_TIMEOUT_NANOS);
        handleOrForward(pending, config, now);
    }

    void onLeaseRecord(LeaseRecord leaseRecord, OperatorConfig config, long now) {
        long fence = mLease.fence();
        mLease.onRecord(leaseRecord, now);
        if (!mLease.isHeld(now) || mLease.fence() != fence) {
            detachAll();
        }
        retryWaiting(config, now);
    }

    void onLeaseUnavailable(OperatorConfig config, long now) {
        mLease.onUnavailable(now);
        if (mLease.isHeld(now)) {
            retryWaiting(config, now);
        }
    }

    void onRenewalRefused(long now) {
        mLease.onRenewalRefused(now);
        mLease.acquireIfDue(now);
    }

    void onManifestStored(
            StepManifest manifest, Optional<Fault> fault, OperatorConfig config, long now) {
        List<PendingRequest> waiting = mWaitingForStore.remove(manifest.step());
        if (waiting == null) {
            return;
        }
        if (fault.isPresent()) {
            waiting.forEach(pending -> fail(pending.requestId(), fault.get()));
            return;
        }
        if (mLease.isHeld(now) && !mSteps.containsKey(manifest.step())) {
            Step step = createStep(manifest, config, now);
            if (step != null) {
                step.startNew(now);
            }
        }
        waiting.forEach(pending -> mOutputs.reply(pending.requestId(), StepReply.accepted()));
    }

    /**
     * Handles the outcome of loading a manifest: a pull or cancellation needs the manifest, and a
     * submission checks whether the step has one already.
     */
    void onManifestLoaded(
            long step,
            @Nullable StepManifest manifest,
            Optional<Fault> fault,
            OperatorConfig config,
            long now) {
        List<PendingRequest> waiting = mWaitingForLoad.remove(step);
        if (waiting == null) {
            return;
        }
        if (fault.isPresent()) {
            waiting.forEach(pending -> fail(pending.requestId(), fault.get()));
            return;
        }
        if (manifest != null && mLease.isHeld(now) && !mSteps.containsKey(step)) {
            Step created = createStep(manifest, config, now);
            if (created != null) {
                created.startAfterTakeover(now);
            }
        }
        for (PendingRequest pending : waiting) {
            if (manifest == null && pending.request() instanceof StepRequest.Submit submit) {
                store(pending, submit.manifest());
            } else if (!mSteps.containsKey(step)) {
                fail(pending.requestId(), unknownStepFault(step));
            } else {
                handle(pending, config, now);
            }
        }
    }

    void onConfig(OperatorConfig config) {
        for (Step step : mSteps.values()) {
            config.classSpec(step.manifest().className()).ifPresent(step::onClassSpec);
        }
    }

    void cancelRequest(long requestId) {
        mWaitingForOwner.removeIf(pending -> pending.requestId() == requestId);
        mSteps.values().forEach(step -> step.cancelPull(requestId));
    }

    void onTick(OperatorConfig config, long now) {
        if (!mSteps.isEmpty() && mLease.state(now) == LeaseState.UNKNOWN) {
            mLease.acquireIfDue(now);
        }
        if (!mSteps.isEmpty()) {
            mLease.renewIfDue(now);
        }
        for (Step step : List.copyOf(mSteps.values())) {
            step.onTick(now);
            if (step.isIdle(now)) {
                step.detach();
                mSteps.remove(step.manifest().step());
            }
        }
        expireWaiting(now);
        retryWaiting(config, now);
    }

    private void handleOrForward(PendingRequest pending, OperatorConfig config, long now) {
        LeaseState state = mLease.state(now);
        LeaseHolder holder = mLease.holder();
        if (state == LeaseState.HELD) {
            handle(pending, config, now);
        } else if (state == LeaseState.OTHER && holder != null && !pending.forwarded()) {
            mOutputs.forward(holder, pending.requestId(), pending.request());
        } else if (state == LeaseState.OTHER) {
            fail(pending.requestId(), ownerUnavailableFault("this entry does not own the step"));
        } else {
            mWaitingForOwner.add(pending);
            mLease.acquireIfDue(now);
        }
    }

    private void handle(PendingRequest pending, OperatorConfig config, long now) {
        StepRequest request = pending.request();
        Step step = mSteps.get(request.step());
        if (request instanceof StepRequest.Submit submit) {
            submit(pending, submit.manifest(), step, config);
        } else if (request instanceof StepRequest.Pull pull) {
            pull(pending, pull, step, now);
        } else if (step != null) {
            close(step);
            mOutputs.reply(pending.requestId(), StepReply.accepted());
        } else {
            load(pending);
        }
    }

    private void submit(
            PendingRequest pending,
            StepManifest manifest,
            @Nullable Step existing,
            OperatorConfig config) {
        if (existing != null) {
            replyToResubmission(pending, manifest, existing);
            return;
        }
        ClassSpec spec = config.classSpec(manifest.className()).orElse(null);
        if (spec == null || spec.kind() != ClassKind.ROLLOUT) {
            String detail = "no rollout class is called '" + manifest.className() + "'";
            fail(pending.requestId(), Fault.notRun(FaultCode.NOT_FOUND, "step.submit", "", detail));
            return;
        }
        load(pending);
    }

    private void replyToResubmission(PendingRequest pending, StepManifest manifest, Step existing) {
        if (existing.manifest().equals(manifest)) {
            mOutputs.reply(pending.requestId(), StepReply.accepted());
            return;
        }
        String detail =
                "step " + manifest.step() + " was already submitted with a different manifest";
        fail(pending.requestId(), Fault.notRun(FaultCode.CONFLICT, "step.submit", "", detail));
    }

    private void store(PendingRequest pending, StepManifest manifest) {
        List<PendingRequest> waiting =
                mWaitingForStore.computeIfAbsent(manifest.step(), key -> new ArrayList<>());
        waiting.add(pending);
        if (waiting.size() == 1) {
            mOutputs.storeManifest(manifest);
        }
    }

    private void pull(
            PendingRequest pending, StepRequest.Pull pull, @Nullable Step step, long now) {
        Cursor.decode(pull.cursor(), mTrainer, pull.step())
                .fold(
                        cursor -> {
                            pull(pending, pull, cursor, step, now);
                            return cursor;
                        },
                        fault -> {
                            fail(pending.requestId(), fault);
                            return fault;
                        });
    }

    private void pull(
            PendingRequest pending,
            StepRequest.Pull pull,
            Cursor decoded,
            @Nullable Step step,
            long now) {
        if (step == null && decoded.isComplete()) {
            mOutputs.reply(
                    pending.requestId(), new StepReply(null, pull.cursor(), List.of(), 0, true));
            return;
        }
        if (step == null) {
            load(pending);
            return;
        }
        int slots = step.manifest().slots();
        Cursor cursor =
                decoded.totalSlots() == 0 ? Cursor.empty(mTrainer, pull.step(), slots) : decoded;
        if (cursor.totalSlots() != slots) {
            String detail = "the cursor belongs to a step with " + cursor.totalSlots() + " samples";
            fail(
                    pending.requestId(),
                    Fault.notRun(FaultCode.BAD_REQUEST, "step.cursor", "", detail));
            return;
        }
        long deadline = now + Nanos.ofMillis(pull.waitMillis());
        step.onPull(
                new PendingPull(
                        pending.requestId(), cursor, pull.version(), pull.max(), now, deadline),
                now);
        if (step.isClosed()) {
            remove(step);
        }
    }

    private void load(PendingRequest pending) {
        long step = pending.request().step();
        List<PendingRequest> waiting =
                mWaitingForLoad.computeIfAbsent(step, key -> new ArrayList<>());
        waiting.add(pending);
        if (waiting.size() == 1) {
            mOutputs.loadManifest(mTrainer, step);
        }
    }

    private @Nullable Step createStep(StepManifest manifest, OperatorConfig config, long now) {
        ClassSpec spec = config.classSpec(manifest.className()).orElse(null);
        if (spec == null) {
            return null;
        }
        Step step =
                new Step(
                        manifest,
                        spec,
                        mRequestEncoder,
                        mStragglerPolicy,
                        mOutputs,
                        mLease.fence(),
                        now);
        mSteps.put(manifest.step(), step);
        return step;
    }

    private void close(Step step) {
        step.close();
        remove(step);
    }

    private void remove(Step step) {
        StepManifest manifest = step.manifest();
        mSteps.remove(manifest.step());
        mOutputs.deleteManifest(mTrainer, manifest.step(), manifest.slots());
    }

    /** Unloads all steps without cancelling their attempts. */
    void detachAll() {
        mSteps.values().forEach(Step::detach);
        mSteps.clear();
    }

    private void retryWaiting(OperatorConfig config, long now) {
        if (mWaitingForOwner.isEmpty()) {
            return;
        }
        LeaseState state = mLease.state(now);
        if (state == LeaseState.HELD || state == LeaseState.OTHER) {
            List<PendingRequest> pending = List.copyOf(mWaitingForOwner);
            mWaitingForOwner.clear();
            pending.forEach(request -> handleOrForward(request, config, now));
        } else {
            mLease.acquireIfDue(now);
        }
    }

    private void expireWaiting(long now) {
        for (PendingRequest pending : List.copyOf(mWaitingForOwner)) {
            if (now - pending.deadline() >= 0) {
                mWaitingForOwner.remove(pending);
                fail(
                        pending.requestId(),
                        ownerUnavailableFault("the owner of the step could not be determined"));
            }
        }
    }

    private void fail(long requestId, Fault fault) {
        mOutputs.reply(requestId, StepReply.failed(fault));
    }

    private static Fault ownerUnavailableFault(String detail) {
        return Fault.notRun(FaultCode.OWNER_UNAVAILABLE, "step.owner", "", detail)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    private Fault unknownStepFault(long step) {
        String detail = "trainer " + mTrainer + " has no step " + step;
        return Fault.notRun(FaultCode.NOT_FOUND, "step.load", "", detail);
    }
}
