package org.ebonyrun.core.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.RotatingHistogram;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.core.config.ClassSpec;
import org.ebonyrun.core.routing.Work;
import org.jspecify.annotations.Nullable;

/**
 * One step at its owner: runs every slot until the trainer has it.
 *
 * <p>Invariants: a slot is handed out only if the pull's cursor lacks it; the age of a sample is
 * checked at the hand-over, against the version that the pull states; samples are released at their
 * agents only after a cursor that includes them has come back.
 *
 * <p>Not thread safe; confined to the rollout duty.
 */
final class Step {
    private static final long GIVE_UP_NANOS = Nanos.ofMillis(600_000);
    private static final long FORGOTTEN_NANOS = Nanos.ofMillis(1_800_000);
    private static final long ADOPTION_NANOS = Nanos.ofMillis(3_000);
    private static final long FETCH_NANOS = Nanos.ofMillis(3_000);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    private static final double MEDIAN = 0.5;
    private static final String COMPLETIONS = "/v1/completions";
    private static final String JSON = "application/json";

    private final StepManifest mManifest;
    private final CompletionRequestEncoder mBodies;
    private final StragglerPolicy mStragglers;
    private final RotatingHistogram mDurations = RotatingHistogram.create(256);
    private final RolloutOutputs mOutputs;
    private final long mFence;
    private final long mStartedAt;
    private final List<Slot> mSlots = new ArrayList<>();
    private ClassSpec mSpec;
    private long mVersion;
    private long mPulledAt;
    private final PullHandler mPulls;
    private boolean mClosed;
    private long mStale;
    private long mRepeated;

    Step(
            StepManifest manifest,
            ClassSpec spec,
            CompletionRequestEncoder bodies,
            StragglerPolicy stragglers,
            RolloutOutputs outputs,
            long fence,
            long now) {
        mManifest = manifest;
        mSpec = spec;
        mBodies = bodies;
        mStragglers = stragglers;
        mOutputs = outputs;
        mFence = fence;
        mStartedAt = now;
        mPulledAt = now;
        mPulls = new PullHandler(this, outputs);
        mVersion = manifest.version();
        int index = 0;
        for (int group = 0; group < manifest.groups().size(); group++) {
            for (int i = 0; i < manifest.groups().get(group).samples(); i++) {
                mSlots.add(new Slot(index++, group));
            }
        }
    }

    StepManifest manifest() {
        return mManifest;
    }

    List<Slot> slots() {
        return mSlots;
    }

    /** Returns the trainer's version by its newest pull. */
    long trainerVersion() {
        return mVersion;
    }

    ClassSpec classSpec() {
        return mSpec;
    }

    boolean isClosed() {
        return mClosed;
    }

    /** Returns whether the trainer has not asked for the step for long. */
    boolean isIdle(long now) {
        return !mPulls.hasPendingPull() && now - mPulledAt >= FORGOTTEN_NANOS;
    }

    void onClassSpec(ClassSpec spec) {
        mSpec = spec;
    }

    /** Starts a step that was just submitted: nothing of it can exist anywhere. */
    void startNew(long now) {
        mOutputs.setMinVersion(mManifest.trainer(), minVersion());
        mSlots.forEach(slot -> submit(slot, now));
    }

    /** Starts a step that another owner may have begun: asks the agents first. */
    void startAfterTakeover(long now) {
        mOutputs.setMinVersion(mManifest.trainer(), minVersion());
        for (Slot slot : mSlots) {
            slot.mPhase = Slot.Phase.ADOPTED;
            slot.mRetryAt = now + RETRY_NANOS;
        }
        mOutputs.broadcast(mSpec.service(), heldQuery());
    }

    void onAgentConnected(VmId vm) {
        mOutputs.send(vm, heldQuery());
    }

    /** Handles the loss of an agent: what it held or ran may come back with it for a while. */
    void onAgentLost(VmId vm, long now) {
        for (Slot slot : mSlots) {
            boolean there =
                    slot.mPhase == Slot.Phase.READY
                            || slot.mPhase == Slot.Phase.SCORING
                            || slot.mPhase == Slot.Phase.ADOPTED;
            if (there && vm.equals(slot.mVm)) {
                slot.mPhase = Slot.Phase.ADOPTED;
                slot.mRetryAt = now + ADOPTION_NANOS;
                mPulls.onContentUnavailable(slot.mIndex, now);
            }
        }
    }

    void onHeldSamples(VmId vm, AttemptMessage.HeldSamples held, long now) {
        held.held().forEach(sample -> onSampleFinished(vm, sample.key(), sample.info(), now));
        for (SampleKey key : held.running()) {
            Slot slot = slot(key);
            if (slot != null && slot.mPhase == Slot.Phase.ADOPTED) {
                slot.mRetryAt = now + GIVE_UP_NANOS;
                slot.mVm = vm;
            }
        }
    }

    /** Handles a finished sample; the first one for a slot stays, any other is released. */
    void onSampleFinished(VmId vm, SampleKey key, SampleInfo info, long now) {
        Slot slot = slot(key);
        if (slot == null) {
            return;
        }
        if (isFilled(slot)) {
            if (!vm.equals(slot.mVm) || slot.mPhase == Slot.Phase.DELIVERED) {
                mOutputs.releaseSamples(vm, List.of(key));
            }
            return;
        }
        if (slot.mPhase == Slot.Phase.SUBMITTED) {
            mDurations.add(Nanos.toMillis(now - slot.mSubmittedAt));
            cancelWork(slot);
        }
        slot.mVm = vm;
        slot.mInfo = info;
        if (isStale(info)) {
            rerun(slot, now);
            return;
        }
        slot.mPhase = mSpec.scorer() == null ? Slot.Phase.READY : Slot.Phase.SCORING;
        if (slot.mPhase == Slot.Phase.SCORING) {
            slot.mRetryAt = now + FETCH_NANOS;
            mOutputs.send(vm, new AttemptMessage.FetchSample(key));
        }
        mPulls.fetchReadySamples(now);
    }

    /** Handles work that the dispatch duty gave up. */
    void onSampleFailed(SampleKey key, long now) {
        Slot slot = slot(key);
        if (slot != null && slot.mPhase == Slot.Phase.SUBMITTED) {
            cancelWork(slot);
            slot.reset();
            slot.mRetryAt = now + RETRY_NANOS;
        }
    }

    void onScored(SampleKey key, @Nullable String score, long now) {
        Slot slot = slot(key);
        if (slot == null || slot.mPhase != Slot.Phase.SCORING) {
            return;
        }
        if (score == null) {
            slot.mRetryAt = now + RETRY_NANOS;
            return;
        }
        slot.mScore = score;
        slot.mPhase = Slot.Phase.READY;
        mPulls.fetchReadySamples(now);
    }

    void onSampleContent(VmId vm, AttemptMessage.SampleContent message, long now) {
        Slot slot = slot(message.key());
        if (slot == null || !vm.equals(slot.mVm)) {
            return;
        }
        byte[] content = message.content();
        if (content == null || message.info() == null) {
            boolean held = slot.mPhase == Slot.Phase.READY || slot.mPhase == Slot.Phase.SCORING;
            if (held) {
                slot.reset();
                submit(slot, now);
            }
            mPulls.onContentUnavailable(slot.mIndex, now);
            return;
        }
        if (slot.mPhase == Slot.Phase.SCORING && mSpec.scorer() != null) {
            slot.mRetryAt = now + FETCH_NANOS;
            mOutputs.startScoring(mSpec.scorer(), message.key(), content);
            return;
        }
        mPulls.onSampleContent(slot, content, message.info(), now);
    }

    /** Handles a pull whose cursor is of this step. */
    void onPull(PendingPull pull, long now) {
        if (mPulls.hasPendingPull()) {
            PullHandler.refuse(
                    mOutputs, pull, FaultCode.CONFLICT, "another pull of the step is open");
            return;
        }
        mVersion = pull.mVersion;
        mPulledAt = now;
        mOutputs.setMinVersion(mManifest.trainer(), minVersion());
        acknowledge(pull.mCursor);
        if (pull.mCursor.slotCount() == mSlots.size()) {
            close();
            mOutputs.reply(
                    pull.mRequestId,
                    new StepReply(null, pull.mCursor.encode(), List.of(), 0, true));
            return;
        }
        dropStale(now);
        mPulls.start(pull, now);
    }

    /** Ends the step: its attempts are cancelled and its samples released. */
    void close() {
        mClosed = true;
        for (Slot slot : mSlots) {
            if (slot.mPhase == Slot.Phase.SUBMITTED) {
                cancelWork(slot);
            }
        }
        mOutputs.broadcast(
                mSpec.service(),
                new AttemptMessage.CloseStep(mManifest.trainer(), mManifest.step(), mFence));
        mPulls.refusePending(FaultCode.CANCELLED, "the step was cancelled");
    }

    /** Forgets the step, because another process owns it now; its attempts go on. */
    void detach() {
        mClosed = true;
        for (Slot slot : mSlots) {
            if (slot.mPhase == Slot.Phase.SUBMITTED) {
                mOutputs.detach(slot.mWorkId);
                mOutputs.detach(slot.mHedgeWorkId);
            }
        }
        mPulls.refusePending(FaultCode.OWNER_UNAVAILABLE, "another entry owns the step now");
    }

    /** Cancels the open pull of a request that nobody waits for any more. */
    void cancelPull(long requestId) {
        mPulls.cancel(requestId);
    }

    void onTick(long now) {
        for (Slot slot : mSlots) {
            if (now - slot.mRetryAt < 0) {
                continue;
            }
            if (slot.mPhase == Slot.Phase.ADOPTED || slot.mPhase == Slot.Phase.PENDING) {
                slot.reset();
                submit(slot, now);
            } else if (slot.mPhase == Slot.Phase.SCORING && slot.mVm != null) {
                slot.mRetryAt = now + FETCH_NANOS;
                mOutputs.send(slot.mVm, new AttemptMessage.FetchSample(sampleKey(slot)));
            }
        }
        repeatStragglers(now);
        mPulls.onTick(now);
    }

    StepDump dump(long now) {
        Map<Slot.Phase, Integer> phases = new HashMap<>();
        mSlots.forEach(slot -> phases.merge(slot.mPhase, 1, Integer::sum));
        return new StepDump(
                mManifest.trainer(),
                mManifest.step(),
                mSlots.size(),
                phases.getOrDefault(Slot.Phase.DELIVERED, 0),
                phases.getOrDefault(Slot.Phase.READY, 0),
                phases.getOrDefault(Slot.Phase.SUBMITTED, 0),
                mStale,
                mRepeated,
                mVersion,
                Nanos.toMillis(now - mStartedAt));
    }

    private void acknowledge(Cursor cursor) {
        Map<VmId, List<SampleKey>> releases = new HashMap<>();
        BitSet has = cursor.slots();
        for (int i = has.nextSetBit(0); i >= 0 && i < mSlots.size(); i = has.nextSetBit(i + 1)) {
            Slot slot = mSlots.get(i);
            if (slot.mPhase == Slot.Phase.SUBMITTED) {
                cancelWork(slot);
            }
            if (slot.mPhase != Slot.Phase.DELIVERED && slot.mVm != null) {
                releases.computeIfAbsent(slot.mVm, vm -> new ArrayList<>()).add(sampleKey(slot));
            }
            slot.mPhase = Slot.Phase.DELIVERED;
        }
        releases.forEach(mOutputs::releaseSamples);
    }

    private void dropStale(long now) {
        for (Slot slot : mSlots) {
            if (slot.mPhase == Slot.Phase.READY && slot.mInfo != null && isStale(slot.mInfo)) {
                rerun(slot, now);
            }
        }
    }

    /** Runs a slot again whose sample is too old. */
    void rerun(Slot slot, long now) {
        mStale++;
        if (slot.mVm != null) {
            mOutputs.releaseSamples(slot.mVm, List.of(sampleKey(slot)));
        }
        slot.reset();
        submit(slot, now);
    }

    boolean isStale(SampleInfo info) {
        return info.versions().oldest() < minVersion();
    }

    private long minVersion() {
        return mVersion - mSpec.stalenessVersions();
    }

    private void submit(Slot slot, long now) {
        slot.mPhase = Slot.Phase.SUBMITTED;
        slot.mSubmittedAt = now;
        slot.mWorkId = submitWork(slot, now);
    }

    /** Starts second attempts of slow slots in the tail; whichever finishes first stays. */
    private void repeatStragglers(long now) {
        int unfinished = 0;
        for (Slot slot : mSlots) {
            if (!isFilled(slot)) {
                unfinished++;
            }
        }
        long typical = mDurations.quantile(MEDIAN, 0);
        for (Slot slot : mSlots) {
            boolean single = slot.mPhase == Slot.Phase.SUBMITTED && slot.mHedgeWorkId == 0;
            long age = Nanos.toMillis(now - slot.mSubmittedAt);
            if (single && mStragglers.shouldHedge(age, typical, unfinished, mSlots.size())) {
                mRepeated++;
                slot.mHedgeWorkId = submitWork(slot, now);
            }
        }
    }

    private void cancelWork(Slot slot) {
        mOutputs.cancel(slot.mWorkId);
        if (slot.mHedgeWorkId != 0) {
            mOutputs.cancel(slot.mHedgeWorkId);
        }
    }

    private long submitWork(Slot slot, long now) {
        long id = mOutputs.nextWorkId();
        PromptGroup group = mManifest.groups().get(slot.mGroup);
        mOutputs.submit(
                new Work(
                        id,
                        WorkKind.SAMPLE,
                        mSpec.service(),
                        mSpec.name(),
                        0,
                        now,
                        mStartedAt + Nanos.ofMillis(mSpec.trainerIdleMillis()),
                        now + GIVE_UP_NANOS,
                        true,
                        false,
                        COMPLETIONS,
                        JSON,
                        mBodies.encode(group),
                        group.prompt().hashCode(),
                        sampleKey(slot),
                        mFence));
        return id;
    }

    private static boolean isFilled(Slot slot) {
        return slot.mPhase == Slot.Phase.READY
                || slot.mPhase == Slot.Phase.SCORING
                || slot.mPhase == Slot.Phase.DELIVERED;
    }

    private AttemptMessage heldQuery() {
        return new AttemptMessage.HeldQuery(mManifest.trainer(), mManifest.step(), mFence);
    }

    SampleKey sampleKey(Slot slot) {
        return new SampleKey(mManifest.trainer(), mManifest.step(), slot.mIndex);
    }

    private @Nullable Slot slot(SampleKey key) {
        boolean mine =
                key.trainer().equals(mManifest.trainer())
                        && key.step() == mManifest.step()
                        && key.slot() < mSlots.size();
        return mine ? mSlots.get(key.slot()) : null;
    }
}
