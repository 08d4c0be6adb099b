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
 * Handles the pulls of one step: selects finished slots, fetches their content from the agents and
 * delivers it in the reply.
 *
 * <p>Invariants: at most one pull is pending at a time; a slot that the pull's cursor includes is
 * never delivered.
 *
 * <p>Not thread safe; confined to the rollout event loop.
 */
final class PullHandler {
    private static final long FETCH_TIMEOUT_NANOS = Nanos.ofMillis(3_000);
    // Maximum size of the content in a reply. A larger reply contains a single sample.
    private static final int MAX_REPLY_BYTES = 4 << 20;
    private static final long RETRY_AFTER_MILLIS = 200;

    private final Step mStep;
    private final RolloutOutputs mOutputs;
    private @Nullable PendingPull mPendingPull;

    PullHandler(Step step, RolloutOutputs outputs) {
        mStep = step;
        mOutputs = outputs;
    }

    boolean hasPendingPull() {
        return mPendingPull != null;
    }

    void start(PendingPull pull, long now) {
        mPendingPull = pull;
        fetchReadySamples(now);
    }

    /** Drops the pending pull, without a reply, if it belongs to the given request. */
    void cancel(long requestId) {
        if (mPendingPull != null && mPendingPull.mRequestId == requestId) {
            mPendingPull = null;
        }
    }

    /** Replies to the pending pull, if there is one, with a fault. */
    void refusePending(FaultCode code, String detail) {
        if (mPendingPull != null) {
            refuse(mOutputs, mPendingPull, code, detail);
            mPendingPull = null;
        }
    }

    /** Replies with a fault to a pull for which no sample was delivered. */
    static void refuse(RolloutOutputs outputs, PendingPull pull, FaultCode code, String detail) {
        Fault fault =
                Fault.notRun(code, "step.pull", "", detail)
                        .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        outputs.reply(pull.mRequestId, StepReply.failed(fault));
    }

    void onTick(long now) {
        PendingPull pull = mPendingPull;
        if (pull == null) {
            return;
        }
        if (!pull.mPendingFetches.isEmpty() && now - pull.mFetchDeadline >= 0) {
            pull.mPendingFetches.clear();
            onFetchesEnded(pull, now);
        } else if (pull.mPendingFetches.isEmpty() && now - pull.mDeadline >= 0) {
            reply(pull, now);
        } else {
            fetchReadySamples(now);
        }
    }

    /** Fetches the content of ready samples for the pending pull, unless a fetch is in progress. */
    void fetchReadySamples(long now) {
        PendingPull pull = mPendingPull;
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
        pull.mFetchDeadline = now + FETCH_TIMEOUT_NANOS;
    }

    /**
     * Selects ready slots for a reply, within its limits on samples and bytes. Slots of groups with
     * the fewest unfinished samples come first.
     */
    private List<Slot> selectReady(PendingPull pull) {
        Map<Integer, Integer> unfinishedByGroup = new HashMap<>();
        List<Slot> ready = new ArrayList<>();
        for (Slot slot : mStep.slots()) {
            if (slot.mPhase == Slot.Phase.READY && !pull.mCursor.hasSlot(slot.mIndex)) {
                ready.add(slot);
            } else if (slot.mPhase != Slot.Phase.DELIVERED) {
                unfinishedByGroup.merge(slot.mGroup, 1, Integer::sum);
            }
        }
        ready.sort(
                Comparator.comparingInt(
                                (Slot slot) -> unfinishedByGroup.getOrDefault(slot.mGroup, 0))
                        .thenComparingInt(slot -> slot.mIndex));
        List<Slot> selected = new ArrayList<>();
        long bytes = 0;
        for (Slot slot : ready) {
            bytes += slot.mInfo == null ? 0 : slot.mInfo.bytes();
            boolean full = selected.size() >= pull.mMaxSamples || bytes > MAX_REPLY_BYTES;
            if (full && !selected.isEmpty()) {
                break;
            }
            selected.add(slot);
        }
        return selected;
    }

    /**
     * Handles fetched content. Checks the sample's age again, because the age at delivery counts.
     */
    void onSampleContent(Slot slot, byte[] content, SampleInfo info, long now) {
        PendingPull pull = mPendingPull;
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
            onFetchesEnded(pull, now);
        }
    }

    /** Handles a fetch that failed because the agent no longer has the content or was lost. */
    void onContentUnavailable(int index, long now) {
        PendingPull pull = mPendingPull;
        if (pull != null && pull.mPendingFetches.get(index)) {
            pull.mPendingFetches.clear(index);
            if (pull.mPendingFetches.isEmpty()) {
                onFetchesEnded(pull, now);
            }
        }
    }

    private void onFetchesEnded(PendingPull pull, long now) {
        if (pull.mSamples.isEmpty()) {
            fetchReadySamples(now);
        } else {
            reply(pull, now);
        }
    }

    private void reply(PendingPull pull, long now) {
        mPendingPull = null;
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
