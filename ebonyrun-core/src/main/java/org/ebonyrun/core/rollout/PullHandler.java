package org.ebonyrun.core.rollout;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;
import org.jspecify.annotations.Nullable;

/**
 * Answers the pulls of one step: selects finished slots, fetches their content from the agents, and
 * hands it over.
 *
 * <p>Invariants: one pull is open at a time; a slot that the pull's cursor has is never handed out.
 *
 * <p>Not thread safe; confined to the rollout duty.
 */
final class PullHandler {
    private static final long FETCH_NANOS = Nanos.ofMillis(3_000);
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final long RETRY_MILLIS = 200;

    private final Step mStep;
    private final RolloutOutputs mOutputs;
    private @Nullable PendingPull mPull;

    PullHandler(Step step, RolloutOutputs outputs) {
        mStep = step;
        mOutputs = outputs;
    }

    boolean hasPendingPull() {
        return mPull != null;
    }

    void start(PendingPull pull, long now) {
        mPull = pull;
        fetchReadySamples(now);
    }

    /** Forgets a pull that nobody waits for any more. */
    void cancel(long requestId) {
        if (mPull != null && mPull.mRequestId == requestId) {
            mPull = null;
        }
    }

    /** Refuses the open pull, if there is one. */
    void refusePending(FaultCode code, String detail) {
        if (mPull != null) {
            refuse(mOutputs, mPull, code, detail);
            mPull = null;
        }
    }

    /** Refuses a pull, of which nothing was handed over. */
    static void refuse(RolloutOutputs outputs, PendingPull pull, FaultCode code, String detail) {
        Fault fault =
                Fault.notRun(code, "step.pull", "", detail).withRetryAfterMillis(RETRY_MILLIS);
        outputs.reply(pull.mRequestId, StepReply.failed(fault));
    }

    void onTick(long now) {
        PendingPull pull = mPull;
        if (pull == null) {
            return;
        }
        if (!pull.mPendingFetches.isEmpty() && now - pull.mFetchDeadline >= 0) {
            pull.mPendingFetches.clear();
            finish(pull, now);
        } else if (pull.mPendingFetches.isEmpty() && now - pull.mDeadline >= 0) {
            answer(pull, now);
        } else {
            fetchReadySamples(now);
        }
    }

    /** Fetches the content of what can be handed out, unless a fetch is under way. */
    void fetchReadySamples(long now) {
        PendingPull pull = mPull;
        if (pull == null || !pull.mPendingFetches.isEmpty()) {
            return;
        }
        for (Slot slot : selectReady(pull)) {
            boolean sent =
                    slot.mVm != null
                            && mOutputs.send(
                                    slot.mVm,
                                    new AttemptMessage.FetchSample(mStep.sampleKey(slot)));
            if (sent) {
                pull.mPendingFetches.set(slot.mIndex);
            }
        }
        pull.mFetchDeadline = now + FETCH_NANOS;
    }

    /** Selects finished slots, those of whole groups first, within the answer's limits. */
    private List<Slot> selectReady(PendingPull pull) {
        Map<Integer, Integer> unfinished = new HashMap<>();
        List<Slot> ready = new ArrayList<>();
        for (Slot slot : mStep.slots()) {
            if (slot.mPhase == Slot.Phase.READY && !pull.mCursor.hasSlot(slot.mIndex)) {
                ready.add(slot);
            } else if (slot.mPhase != Slot.Phase.DELIVERED) {
                unfinished.merge(slot.mGroup, 1, Integer::sum);
            }
        }
        ready.sort(
                Comparator.comparingInt((Slot slot) -> unfinished.getOrDefault(slot.mGroup, 0))
                        .thenComparingInt(slot -> slot.mIndex));
        List<Slot> selected = new ArrayList<>();
        long bytes = 0;
        for (Slot slot : ready) {
            bytes += slot.mInfo == null ? 0 : slot.mInfo.bytes();
            boolean full = selected.size() >= pull.mMaxSamples || bytes > MAX_ANSWER_BYTES;
            if (full && !selected.isEmpty()) {
                break;
            }
            selected.add(slot);
        }
        return selected;
    }

    /** Handles content that was fetched; its age is checked once more, at the hand-over. */
    void onSampleContent(Slot slot, byte[] content, SampleInfo info, long now) {
        PendingPull pull = mPull;
        if (pull == null || !pull.mPendingFetches.get(slot.mIndex)) {
            return;
        }
        pull.mPendingFetches.clear(slot.mIndex);
        if (mStep.isStale(info)) {
            mStep.rerun(slot, now);
        } else {
            pull.mSamples.add(
                    new Sample(
                            slot.mIndex,
                            slot.mGroup,
                            new String(content, StandardCharsets.UTF_8),
                            info.tokens(),
                            info.versions(),
                            slot.mScore));
        }
        if (pull.mPendingFetches.isEmpty()) {
            finish(pull, now);
        }
    }

    /** Takes note that a slot's content can't be had. */
    void onContentUnavailable(int index, long now) {
        PendingPull pull = mPull;
        if (pull != null && pull.mPendingFetches.get(index)) {
            pull.mPendingFetches.clear(index);
            if (pull.mPendingFetches.isEmpty()) {
                finish(pull, now);
            }
        }
    }

    private void finish(PendingPull pull, long now) {
        if (pull.mSamples.isEmpty()) {
            fetchReadySamples(now);
        } else {
            answer(pull, now);
        }
    }

    private void answer(PendingPull pull, long now) {
        mPull = null;
        Cursor next = pull.nextCursor();
        int remaining = mStep.slots().size() - next.slotCount();
        mOutputs.recordTrainerIdleTime(mStep.manifest().trainer(), now - pull.mOpenedAt);
        for (Sample sample : pull.mSamples) {
            mOutputs.recordDeliveredSample(
                    mStep.manifest().trainer(),
                    mStep.trainerVersion() - sample.versions().oldest());
        }
        mOutputs.reply(
                pull.mRequestId,
                new StepReply(null, next.encode(), pull.mSamples, remaining, false));
    }
}
