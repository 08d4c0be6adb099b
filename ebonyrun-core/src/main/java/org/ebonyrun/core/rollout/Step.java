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
 * One step at its owner: runs every slot until the trainer has acknowledged its sample.
 *
 * <p>Invariants: a slot is delivered only if the pull's cursor does not include it; the age of a
 * sample is checked at delivery, against the weight version in the pull; a delivered sample is
 * released at its agent only after the trainer has sent a cursor that includes it.
 *
 * <p>Not thread safe; confined to the rollout event loop.
 */
final class Step {
    // Time limit of one attempt to generate a sample.
    private static final long SAMPLE_TIMEOUT_NANOS = Nanos.ofMillis(600_000);
    // A step that gets no pull for this time is unloaded.
    private static final long IDLE_TIMEOUT_NANOS = Nanos.ofMillis(1_800_000);
    // How long a disconnected agent may take to reconnect before its slots run again.
    private static final long RECONNECT_TIMEOUT_NANOS = Nanos.ofMillis(3_000);
    private static final long FETCH_TIMEOUT_NANOS = Nanos.ofMillis(3_000);
    private static final long RETRY_DELAY_NANOS = Nanos.ofMillis(500);
    private static final double MEDIAN = 0.5;
    private static final String COMPLETIONS_PATH = "/v1/completions";
    private static final String JSON_CONTENT_TYPE = "application/json";

    private final StepManifest mManifest;
    private final CompletionRequestEncoder mRequestEncoder;
    private final StragglerPolicy mStragglerPolicy;
    private final RotatingHistogram mDurationsMillis = RotatingHistogram.create(256);
    private final RolloutOutputs mOutputs;
    private final long mFence;
    private final long mStartedAt;
    private final List<Slot> mSlots = new ArrayList<>();
    private ClassSpec mClassSpec;
    private long mTrainerVersion;
    private long mLastPullAt;
    private final PullHandler mPullHandler;
    private boolean mClosed;
    private long mStaleSamples;
    private long mHedgedSamples;

    Step(
            StepManifest manifest,
            ClassSpec classSpec,
            CompletionRequestEncoder requestEncoder,
            StragglerPolicy stragglerPolicy,
            RolloutOutputs outputs,
            long fence,
            long now) {
        mManifest = manifest;
        mClassSpec = classSpec;
        mRequestEncoder = requestEncoder;
        mStragglerPolicy = stragglerPolicy;
        mOutputs = outputs;
        mFence = fence;
        mStartedAt = now;
        mLastPullAt = now;
        mPullHandler = new PullHandler(this, outputs);
        mTrainerVersion = manifest.version();
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

    /** Returns the trainer's weight version according to its latest pull. */
    long trainerVersion() {
        return mTrainerVersion;
    }

    ClassSpec classSpec() {
        return mClassSpec;
    }

    boolean isClosed() {
        return mClosed;
    }

    /** Returns whether the trainer has not pulled for a long time and no pull is pending. */
    boolean isIdle(long now) {
        return !mPullHandler.hasPendingPull() && now - mLastPullAt >= IDLE_TIMEOUT_NANOS;
    }

    void onClassSpec(ClassSpec classSpec) {
        mClassSpec = classSpec;
    }

    /** Starts a newly submitted step, of which no agent can hold or run anything. */
    void startNew(long now) {
        mOutputs.setMinVersion(mManifest.trainer(), minVersion());
        mSlots.forEach(slot -> submit(slot, now));
    }

    /** Starts a step that another owner may have started: first queries what the agents hold. */
    void startAfterTakeover(long now) {
        mOutputs.setMinVersion(mManifest.trainer(), minVersion());
        for (Slot slot : mSlots) {
            slot.mPhase = Slot.Phase.ADOPTED;
            slot.mRetryAt = now + RETRY_DELAY_NANOS;
        }
        mOutputs.broadcast(mClassSpec.service(), heldQuery());
    }

    void onAgentConnected(VmId vm) {
        mOutputs.send(vm, heldQuery());
    }

    /**
     * Handles the loss of an agent's link. Slots whose samples the agent held, or whose adopted
     * attempts it ran, run again unless it reconnects in time.
     */
    void onAgentLost(VmId vm, long now) {
        for (Slot slot : mSlots) {
            boolean heldOrRunning =
                    slot.mPhase == Slot.Phase.READY
                            || slot.mPhase == Slot.Phase.SCORING
                            || slot.mPhase == Slot.Phase.ADOPTED;
            if (heldOrRunning && vm.equals(slot.mVm)) {
                slot.mPhase = Slot.Phase.ADOPTED;
                slot.mRetryAt = now + RECONNECT_TIMEOUT_NANOS;
                mPullHandler.onContentUnavailable(slot.mIndex, now);
            }
        }
    }

    void onHeldSamples(VmId vm, AttemptMessage.HeldSamples held, long now) {
        held.held().forEach(sample -> onSampleFinished(vm, sample.key(), sample.info(), now));
        for (SampleKey key : held.running()) {
            Slot slot = findSlot(key);
            if (slot != null && slot.mPhase == Slot.Phase.ADOPTED) {
                slot.mRetryAt = now + SAMPLE_TIMEOUT_NANOS;
                slot.mVm = vm;
            }
        }
    }

    /** Handles a finished sample. The first one for a slot is kept; any other is released. */
    void onSampleFinished(VmId vm, SampleKey key, SampleInfo info, long now) {
        Slot slot = findSlot(key);
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
            mDurationsMillis.add(Nanos.toMillis(now - slot.mSubmittedAt));
            cancelWork(slot);
        }
        slot.mVm = vm;
        slot.mInfo = info;
        if (isStale(info)) {
            rerun(slot, now);
            return;
        }
        slot.mPhase = mClassSpec.scorer() == null ? Slot.Phase.READY : Slot.Phase.SCORING;
        if (slot.mPhase == Slot.Phase.SCORING) {
            slot.mRetryAt = now + FETCH_TIMEOUT_NANOS;
            mOutputs.send(vm, new AttemptMessage.FetchSample(key));
        }
        mPullHandler.fetchReadySamples(now);
    }

    /** Handles a sample whose work the dispatcher abandoned. */
    void onSampleFailed(SampleKey key, long now) {
        Slot slot = findSlot(key);
        if (slot != null && slot.mPhase == Slot.Phase.SUBMITTED) {
            cancelWork(slot);
            slot.reset();
            slot.mRetryAt = now + RETRY_DELAY_NANOS;
        }
    }

    void onScored(SampleKey key, @Nullable String score, long now) {
        Slot slot = findSlot(key);
        if (slot == null || slot.mPhase != Slot.Phase.SCORING) {
            return;
        }
        if (score == null) {
            slot.mRetryAt = now + RETRY_DELAY_NANOS;
            return;
        }
        slot.mScore = score;
        slot.mPhase = Slot.Phase.READY;
        mPullHandler.fetchReadySamples(now);
    }

    void onSampleContent(VmId vm, AttemptMessage.SampleContent message, long now) {
        Slot slot = findSlot(message.key());
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
            mPullHandler.onContentUnavailable(slot.mIndex, now);
            return;
        }
        if (slot.mPhase == Slot.Phase.SCORING && mClassSpec.scorer() != null) {
            slot.mRetryAt = now + FETCH_TIMEOUT_NANOS;
            mOutputs.startScoring(mClassSpec.scorer(), message.key(), content);
            return;
        }
        mPullHandler.onSampleContent(slot, content, message.info(), now);
    }

    /** Handles a pull whose cursor belongs to this step. */
    void onPull(PendingPull pull, long now) {
        if (mPullHandler.hasPendingPull()) {
            PullHandler.refuse(
                    mOutputs, pull, FaultCode.CONFLICT, "another pull of the step is in progress");
            return;
        }
        mTrainerVersion = pull.mVersion;
        mLastPullAt = now;
        mOutputs.setMinVersion(mManifest.trainer(), minVersion());
        acknowledge(pull.mCursor);
        if (pull.mCursor.slotCount() == mSlots.size()) {
            close();
            mOutputs.reply(
                    pull.mRequestId,
                    new StepReply(null, pull.mCursor.encode(), List.of(), 0, true));
            return;
        }
        rerunStaleSamples(now);
        mPullHandler.start(pull, now);
    }

    /** Ends the step: cancels its attempts and tells the agents to discard its samples. */
    void close() {
        mClosed = true;
        for (Slot slot : mSlots) {
            if (slot.mPhase == Slot.Phase.SUBMITTED) {
                cancelWork(slot);
            }
        }
        mOutputs.broadcast(
                mClassSpec.service(),
                new AttemptMessage.CloseStep(mManifest.trainer(), mManifest.step(), mFence));
        mPullHandler.refusePending(FaultCode.CANCELLED, "the step was cancelled");
    }

    /** Stops running the step without cancelling its attempts, so that it can be taken over. */
    void detach() {
        mClosed = true;
        for (Slot slot : mSlots) {
            if (slot.mPhase == Slot.Phase.SUBMITTED) {
                mOutputs.detach(slot.mWorkId);
                mOutputs.detach(slot.mHedgeWorkId);
            }
        }
        mPullHandler.refusePending(FaultCode.OWNER_UNAVAILABLE, "another entry owns the step now");
    }

    /** Drops the pending pull if it belongs to the given request. */
    void cancelPull(long requestId) {
        mPullHandler.cancel(requestId);
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
                slot.mRetryAt = now + FETCH_TIMEOUT_NANOS;
                mOutputs.send(slot.mVm, new AttemptMessage.FetchSample(sampleKey(slot)));
            }
        }
        hedgeStragglers(now);
        mPullHandler.onTick(now);
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
                mStaleSamples,
                mHedgedSamples,
                mTrainerVersion,
                Nanos.toMillis(now - mStartedAt));
    }

    private void acknowledge(Cursor cursor) {
        Map<VmId, List<SampleKey>> samplesByVm = new HashMap<>();
        BitSet delivered = cursor.slots();
        for (int i = delivered.nextSetBit(0);
                i >= 0 && i < mSlots.size();
                i = delivered.nextSetBit(i + 1)) {
            Slot slot = mSlots.get(i);
            if (slot.mPhase == Slot.Phase.SUBMITTED) {
                cancelWork(slot);
            }
            if (slot.mPhase != Slot.Phase.DELIVERED && slot.mVm != null) {
                samplesByVm.computeIfAbsent(slot.mVm, vm -> new ArrayList<>()).add(sampleKey(slot));
            }
            slot.mPhase = Slot.Phase.DELIVERED;
        }
        samplesByVm.forEach(mOutputs::releaseSamples);
    }

    private void rerunStaleSamples(long now) {
        for (Slot slot : mSlots) {
            if (slot.mPhase == Slot.Phase.READY && slot.mInfo != null && isStale(slot.mInfo)) {
                rerun(slot, now);
            }
        }
    }

    /** Discards a slot's sample that is too old, and runs the slot again. */
    void rerun(Slot slot, long now) {
        mStaleSamples++;
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
        return mTrainerVersion - mClassSpec.stalenessVersions();
    }

    private void submit(Slot slot, long now) {
        slot.mPhase = Slot.Phase.SUBMITTED;
        slot.mSubmittedAt = now;
        slot.mWorkId = submitWork(slot, now);
    }

    /**
     * Starts hedged attempts for slow slots according to the policy. The sample that finishes first
     * is kept.
     */
    private void hedgeStragglers(long now) {
        int unfinished = 0;
        for (Slot slot : mSlots) {
            if (!isFilled(slot)) {
                unfinished++;
            }
        }
        long medianMillis = mDurationsMillis.quantile(MEDIAN, 0);
        for (Slot slot : mSlots) {
            boolean canHedge = slot.mPhase == Slot.Phase.SUBMITTED && slot.mHedgeWorkId == 0;
            long ageMillis = Nanos.toMillis(now - slot.mSubmittedAt);
            if (canHedge
                    && mStragglerPolicy.shouldHedge(
                            ageMillis, medianMillis, unfinished, mSlots.size())) {
                mHedgedSamples++;
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
                        mClassSpec.service(),
                        mClassSpec.name(),
                        0,
                        now,
                        mStartedAt + Nanos.ofMillis(mClassSpec.trainerIdleMillis()),
                        now + SAMPLE_TIMEOUT_NANOS,
                        true,
                        false,
                        COMPLETIONS_PATH,
                        JSON_CONTENT_TYPE,
                        mRequestEncoder.encode(group),
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

    private @Nullable Slot findSlot(SampleKey key) {
        boolean belongsToStep =
                key.trainer().equals(mManifest.trainer())
                        && key.step() == mManifest.step()
                        && key.slot() < mSlots.size();
        return belongsToStep ? mSlots.get(key.slot()) : null;
    }
}
