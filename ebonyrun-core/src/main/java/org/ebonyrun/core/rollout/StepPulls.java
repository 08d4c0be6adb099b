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
final class StepPulls {
    private static final long FETCH_NANOS = Nanos.ofMillis(3_000);
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final long RETRY_MILLIS = 200;

    private final Step mStep;
    private final RolloutOutputs mOutputs;
    private @Nullable OpenPull mPull;

    StepPulls(Step step, RolloutOutputs outputs) {
        mStep = step;
        mOutputs = outputs;
    }

    boolean isOpen() {
        return mPull != null;
    }

    void open(OpenPull pull, long now) {
        mPull = pull;
        serve(now);
    }

    /** Forgets a pull that nobody waits for any more. */
    void cancel(long requestId) {
        if (mPull != null && mPull.mRequestId == requestId) {
            mPull = null;
        }
    }

    /** Refuses the open pull, if there is one. */
    void refuseOpen(FaultCode code, String detail) {
        if (mPull != null) {
            refuse(mOutputs, mPull, code, detail);
            mPull = null;
        }
    }

    /** Refuses a pull, of which nothing was handed over. */
    static void refuse(RolloutOutputs outputs, OpenPull pull, FaultCode code, String detail) {
        Fault fault =
                Fault.notRun(code, "step.pull", "", detail).withRetryAfterMillis(RETRY_MILLIS);
        outputs.reply(pull.mRequestId, StepReply.failed(fault));
    }

    void onTick(long now) {
        OpenPull pull = mPull;
        if (pull == null) {
            return;
        }
        if (!pull.mFetching.isEmpty() && now - pull.mFetchDeadline >= 0) {
            pull.mFetching.clear();
            finish(pull, now);
        } else if (pull.mFetching.isEmpty() && now - pull.mDeadline >= 0) {
            answer(pull, now);
        } else {
            serve(now);
        }
    }

    /** Fetches the content of what can be handed out, unless a fetch is under way. */
    void serve(long now) {
        OpenPull pull = mPull;
        if (pull == null || !pull.mFetching.isEmpty()) {
            return;
        }
        for (Slot slot : selectReady(pull)) {
            boolean sent =
                    slot.mVm != null
                            && mOutputs.send(
                                    slot.mVm, new AttemptMessage.FetchSample(mStep.key(slot)));
            if (sent) {
                pull.mFetching.set(slot.mIndex);
            }
        }
        pull.mFetchDeadline = now + FETCH_NANOS;
    }

    /** Selects finished slots, those of whole groups first, within the answer's limits. */
    private List<Slot> selectReady(OpenPull pull) {
        Map<Integer, Integer> unfinished = new HashMap<>();
        List<Slot> ready = new ArrayList<>();
        for (Slot slot : mStep.slots()) {
            if (slot.mPhase == Slot.Phase.READY && !pull.mCursor.has(slot.mIndex)) {
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
            boolean full = selected.size() >= pull.mMax || bytes > MAX_ANSWER_BYTES;
            if (full && !selected.isEmpty()) {
                break;
            }
            selected.add(slot);
        }
        return selected;
    }

    /** Handles content that was fetched; its age is checked once more, at the hand-over. */
    void onContent(Slot slot, byte[] content, SampleInfo info, long now) {
        OpenPull pull = mPull;
        if (pull == null || !pull.mFetching.get(slot.mIndex)) {
            return;
        }
        pull.mFetching.clear(slot.mIndex);
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
        if (pull.mFetching.isEmpty()) {
            finish(pull, now);
        }
    }

    /** Takes note that a slot's content can't be had. */
    void onContentLost(int index, long now) {
        OpenPull pull = mPull;
        if (pull != null && pull.mFetching.get(index)) {
            pull.mFetching.clear(index);
            if (pull.mFetching.isEmpty()) {
                finish(pull, now);
            }
        }
    }

    private void finish(OpenPull pull, long now) {
        if (pull.mSamples.isEmpty()) {
            serve(now);
        } else {
            answer(pull, now);
        }
    }

    private void answer(OpenPull pull, long now) {
        mPull = null;
        Cursor next = pull.next();
        int remaining = mStep.slots().size() - next.count();
        mOutputs.idle(mStep.manifest().trainer(), now - pull.mOpenedAt);
        for (Sample sample : pull.mSamples) {
            mOutputs.delivered(
                    mStep.manifest().trainer(), mStep.version() - sample.versions().oldest());
        }
        mOutputs.reply(
                pull.mRequestId,
                new StepReply(null, next.encode(), pull.mSamples, remaining, false));
    }
}
