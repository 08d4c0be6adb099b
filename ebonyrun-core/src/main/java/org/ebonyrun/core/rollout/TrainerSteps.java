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
 * The steps of one trainer as one entry sees them: owned here, owned elsewhere, or not known yet.
 *
 * <p>Invariant: steps are in memory only while this process holds the trainer's lease. A step for
 * which the trainer has not asked for half an hour is put away; its manifest stays, and a later
 * pull takes it up again.
 *
 * <p>Not thread safe; confined to the rollout duty.
 */
final class TrainerSteps {
    private static final long PARK_NANOS = Nanos.ofMillis(4_000);
    private static final long RETRY_MILLIS = 500;

    private final TrainerId mTrainer;
    private final Lease mLease;
    private final CompletionRequestEncoder mBodies;
    private final StragglerPolicy mStragglers;
    private final RolloutOutputs mOutputs;
    private final Map<Long, Step> mSteps = new HashMap<>();
    private final Map<Long, List<Parked>> mStoring = new HashMap<>();
    private final Map<Long, List<Parked>> mLoading = new HashMap<>();
    private final List<Parked> mParked = new ArrayList<>();

    TrainerSteps(
            TrainerId trainer,
            LeaseHolder self,
            CompletionRequestEncoder bodies,
            StragglerPolicy stragglers,
            RolloutOutputs outputs) {
        mTrainer = trainer;
        mLease = Lease.create("owner/" + trainer, self, outputs);
        mBodies = bodies;
        mStragglers = stragglers;
        mOutputs = outputs;
    }

    /** A request that waits for the lease or for the manifest. */
    private record Parked(long requestId, StepRequest request, boolean forwarded, long until) {}

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
        Parked parked = new Parked(requestId, request, forwarded, now + PARK_NANOS);
        dispatch(parked, config, now);
    }

    void onLeaseRecord(LeaseRecord reading, OperatorConfig config, long now) {
        long fence = mLease.fence();
        mLease.onRecord(reading, now);
        if (!mLease.isHeld(now) || mLease.fence() != fence) {
            detachAll();
        }
        retryParked(config, now);
    }

    void onLeaseUnavailable(OperatorConfig config, long now) {
        mLease.onUnavailable(now);
        if (mLease.isHeld(now)) {
            retryParked(config, now);
        }
    }

    void onRenewalRefused(long now) {
        mLease.onRenewalRefused(now);
        mLease.acquireIfDue(now);
    }

    void onManifestStored(
            StepManifest manifest, Optional<Fault> fault, OperatorConfig config, long now) {
        List<Parked> waiting = mStoring.remove(manifest.step());
        if (waiting == null) {
            return;
        }
        if (fault.isPresent()) {
            waiting.forEach(parked -> fail(parked.requestId(), fault.get()));
            return;
        }
        if (mLease.isHeld(now) && !mSteps.containsKey(manifest.step())) {
            Step step = create(manifest, config, now);
            if (step != null) {
                step.startNew(now);
            }
        }
        waiting.forEach(parked -> mOutputs.reply(parked.requestId(), StepReply.accepted()));
    }

    /** Handles a manifest that was read: one that a pull needs, or that a submission met. */
    void onManifestLoaded(
            long step,
            @Nullable StepManifest manifest,
            Optional<Fault> fault,
            OperatorConfig config,
            long now) {
        List<Parked> waiting = mLoading.remove(step);
        if (waiting == null) {
            return;
        }
        if (fault.isPresent()) {
            waiting.forEach(parked -> fail(parked.requestId(), fault.get()));
            return;
        }
        if (manifest != null && mLease.isHeld(now) && !mSteps.containsKey(step)) {
            Step created = create(manifest, config, now);
            if (created != null) {
                created.startAfterTakeover(now);
            }
        }
        for (Parked parked : waiting) {
            if (manifest == null && parked.request() instanceof StepRequest.Submit submit) {
                store(parked, submit.manifest());
            } else if (!mSteps.containsKey(step)) {
                fail(parked.requestId(), unknownStep(step));
            } else {
                handle(parked, config, now);
            }
        }
    }

    void onConfig(OperatorConfig config) {
        for (Step step : mSteps.values()) {
            config.classSpec(step.manifest().className()).ifPresent(step::onClassSpec);
        }
    }

    void cancelRequest(long requestId) {
        mParked.removeIf(parked -> parked.requestId() == requestId);
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
        expireParked(now);
        retryParked(config, now);
    }

    private void dispatch(Parked parked, OperatorConfig config, long now) {
        LeaseState state = mLease.state(now);
        LeaseHolder holder = mLease.holder();
        if (state == LeaseState.HELD) {
            handle(parked, config, now);
        } else if (state == LeaseState.OTHER && holder != null && !parked.forwarded()) {
            mOutputs.forward(holder, parked.requestId(), parked.request());
        } else if (state == LeaseState.OTHER) {
            fail(parked.requestId(), ownerUnavailable("this entry does not own the step"));
        } else {
            mParked.add(parked);
            mLease.acquireIfDue(now);
        }
    }

    private void handle(Parked parked, OperatorConfig config, long now) {
        StepRequest request = parked.request();
        Step step = mSteps.get(request.step());
        if (request instanceof StepRequest.Submit submit) {
            submit(parked, submit.manifest(), step, config);
        } else if (request instanceof StepRequest.Pull pull) {
            pull(parked, pull, step, now);
        } else if (step != null) {
            close(step);
            mOutputs.reply(parked.requestId(), StepReply.accepted());
        } else {
            load(parked);
        }
    }

    private void submit(
            Parked parked, StepManifest manifest, @Nullable Step present, OperatorConfig config) {
        if (present != null) {
            answerRepeated(parked, manifest, present);
            return;
        }
        ClassSpec spec = config.classSpec(manifest.className()).orElse(null);
        if (spec == null || spec.kind() != ClassKind.ROLLOUT) {
            String detail = "no rollout class is called '" + manifest.className() + "'";
            fail(parked.requestId(), Fault.notRun(FaultCode.NOT_FOUND, "step.submit", "", detail));
            return;
        }
        load(parked);
    }

    private void answerRepeated(Parked parked, StepManifest manifest, Step present) {
        if (present.manifest().equals(manifest)) {
            mOutputs.reply(parked.requestId(), StepReply.accepted());
            return;
        }
        String detail = "step " + manifest.step() + " was submitted with other prompts";
        fail(parked.requestId(), Fault.notRun(FaultCode.CONFLICT, "step.submit", "", detail));
    }

    private void store(Parked parked, StepManifest manifest) {
        List<Parked> waiting = mStoring.computeIfAbsent(manifest.step(), key -> new ArrayList<>());
        waiting.add(parked);
        if (waiting.size() == 1) {
            mOutputs.storeManifest(manifest);
        }
    }

    private void pull(Parked parked, StepRequest.Pull pull, @Nullable Step step, long now) {
        Cursor.decode(pull.cursor(), mTrainer, pull.step())
                .fold(
                        cursor -> {
                            pull(parked, pull, cursor, step, now);
                            return cursor;
                        },
                        fault -> {
                            fail(parked.requestId(), fault);
                            return fault;
                        });
    }

    private void pull(
            Parked parked, StepRequest.Pull pull, Cursor given, @Nullable Step step, long now) {
        if (step == null && given.isComplete()) {
            mOutputs.reply(
                    parked.requestId(), new StepReply(null, pull.cursor(), List.of(), 0, true));
            return;
        }
        if (step == null) {
            load(parked);
            return;
        }
        int slots = step.manifest().slots();
        Cursor cursor =
                given.totalSlots() == 0 ? Cursor.empty(mTrainer, pull.step(), slots) : given;
        if (cursor.totalSlots() != slots) {
            String detail = "the cursor is of a step with " + cursor.totalSlots() + " samples";
            fail(
                    parked.requestId(),
                    Fault.notRun(FaultCode.BAD_REQUEST, "step.cursor", "", detail));
            return;
        }
        long deadline = now + Nanos.ofMillis(pull.waitMillis());
        step.onPull(
                new PendingPull(
                        parked.requestId(), cursor, pull.version(), pull.max(), now, deadline),
                now);
        if (step.isClosed()) {
            remove(step);
        }
    }

    private void load(Parked parked) {
        long step = parked.request().step();
        List<Parked> waiting = mLoading.computeIfAbsent(step, key -> new ArrayList<>());
        waiting.add(parked);
        if (waiting.size() == 1) {
            mOutputs.loadManifest(mTrainer, step);
        }
    }

    private @Nullable Step create(StepManifest manifest, OperatorConfig config, long now) {
        ClassSpec spec = config.classSpec(manifest.className()).orElse(null);
        if (spec == null) {
            return null;
        }
        Step step = new Step(manifest, spec, mBodies, mStragglers, mOutputs, mLease.fence(), now);
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

    /** Forgets all steps; their attempts go on. */
    void detachAll() {
        mSteps.values().forEach(Step::detach);
        mSteps.clear();
    }

    private void retryParked(OperatorConfig config, long now) {
        if (mParked.isEmpty()) {
            return;
        }
        LeaseState state = mLease.state(now);
        if (state == LeaseState.HELD || state == LeaseState.OTHER) {
            List<Parked> parked = List.copyOf(mParked);
            mParked.clear();
            parked.forEach(request -> dispatch(request, config, now));
        } else {
            mLease.acquireIfDue(now);
        }
    }

    private void expireParked(long now) {
        for (Parked parked : List.copyOf(mParked)) {
            if (now - parked.until() >= 0) {
                mParked.remove(parked);
                fail(parked.requestId(), ownerUnavailable("the owner is not known"));
            }
        }
    }

    private void fail(long requestId, Fault fault) {
        mOutputs.reply(requestId, StepReply.failed(fault));
    }

    private static Fault ownerUnavailable(String detail) {
        return Fault.notRun(FaultCode.OWNER_UNAVAILABLE, "step.owner", "", detail)
                .withRetryAfterMillis(RETRY_MILLIS);
    }

    private Fault unknownStep(long step) {
        String detail = "trainer " + mTrainer + " has no step " + step;
        return Fault.notRun(FaultCode.NOT_FOUND, "step.load", "", detail);
    }
}
