package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.route.Route;

/**
 * The progress of one step that this process owns.
 *
 * <p>Invariants: {@code mListed} holds the results that the store has acknowledged, by position;
 * {@code mStoring} holds those that are being stored from position {@code mListed.size()} on; a
 * sample's result is in at most one of {@code mListed}, {@code mStoring} and {@code mFinished}.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class StepProgress {
    // Added to the route's abandonMillis, because the clocks of two owners may differ by this much.
    private static final long ABANDON_SLACK_NANOS = Nanos.ofMillis(5_000);
    private static final int FULL_BATCH_CHARS = 256 * 1024;

    final StepSpec mSpec;
    Route mRoute;
    final long mDueAt;
    final long mAbandonAt;
    final Map<String, SampleProgress> mSamples = new LinkedHashMap<>();
    final List<SampleResult> mListed = new ArrayList<>();
    final List<SampleResult> mFinished = new ArrayList<>();
    List<SampleResult> mStoring = List.of();
    long mFinishedSince;
    boolean mEnded;
    private final Map<String, Integer> mUnfinishedByGroup = new HashMap<>();
    private final Map<String, List<SampleProgress>> mGroups = new HashMap<>();
    private int mCompleteGroups;

    StepProgress(StepSpec spec, Route route, long submittedAt) {
        mSpec = spec;
        mRoute = route;
        mDueAt = submittedAt + Nanos.ofMillis(route.step().dueMillis());
        mAbandonAt =
                submittedAt + Nanos.ofMillis(route.step().abandonMillis()) + ABANDON_SLACK_NANOS;
        Map<String, Integer> ranks = GroupRanking.rankGroups(spec);
        for (SampleSpec sample : spec.samples()) {
            SampleProgress progress = new SampleProgress(this, sample, ranks.get(sample.group()));
            mSamples.put(sample.id(), progress);
            mGroups.computeIfAbsent(sample.group(), group -> new ArrayList<>()).add(progress);
            mUnfinishedByGroup.merge(sample.group(), 1, Integer::sum);
        }
    }

    /** Returns the samples of a group, also those that are finished. */
    List<SampleProgress> group(String name) {
        return mGroups.getOrDefault(name, List.of());
    }

    boolean isComplete() {
        return mListed.size() == mSamples.size();
    }

    boolean areAllFinished() {
        return mListed.size() + mStoring.size() + mFinished.size() == mSamples.size();
    }

    /**
     * Returns checkpoints of the unfinished samples, then of the finished ones whose results are
     * not on their way to the store.
     *
     * @param minEvents the number of events that a text needs for a checkpoint
     */
    List<SampleCheckpoint> checkpoints(int minEvents) {
        List<SampleCheckpoint> texts = new ArrayList<>();
        for (SampleProgress sample : mSamples.values()) {
            if (sample.mState != SampleProgress.State.FINISHED) {
                texts.add(sample.checkpoint());
            }
        }
        addTexts(mFinished, texts);
        texts.removeIf(text -> text.events().size() < minEvents);
        return texts;
    }

    /** Returns the texts of all samples that are not listed. */
    List<SampleCheckpoint> unlistedTexts() {
        List<SampleCheckpoint> texts = checkpoints(1);
        addTexts(mStoring, texts);
        return texts;
    }

    private static void addTexts(List<SampleResult> results, List<SampleCheckpoint> texts) {
        results.stream()
                .filter(SampleResult::done)
                .map(SampleCheckpoint::ofResult)
                .forEach(texts::add);
    }

    /** Returns whether fewer groups are complete than the trainer waits for. */
    boolean needsMoreGroups() {
        return mCompleteGroups < mSpec.wantedGroups();
    }

    /** Marks a sample as finished; returns whether this completes its group. */
    boolean finish(SampleProgress sample, SampleResult result, long now) {
        sample.mState = SampleProgress.State.FINISHED;
        sample.mEvents.clear();
        if (mFinished.isEmpty()) {
            mFinishedSince = now;
        }
        mFinished.add(result);
        return countFinished(sample.mSpec.group());
    }

    /**
     * Begins to store the finished results, unless the step has ended or others are being stored.
     * Without {@code immediately}, they wait until the batch is full or old enough or all samples
     * are finished.
     *
     * @return whether results are to be stored, which then are {@code mStoring}
     */
    boolean beginStoring(boolean immediately, long maxBatchAgeNanos, long now) {
        if (mEnded || !mStoring.isEmpty() || mFinished.isEmpty()) {
            return false;
        }
        boolean isOld = now - mFinishedSince >= maxBatchAgeNanos;
        if (!immediately && !isOld && !areAllFinished() && finishedChars() < FULL_BATCH_CHARS) {
            return false;
        }
        mStoring = List.copyOf(mFinished);
        mFinished.clear();
        return true;
    }

    /** Returns the length of the finished texts that are not being stored. */
    private int finishedChars() {
        return mFinished.stream().mapToInt(result -> result.text().length()).sum();
    }

    private boolean countFinished(String group) {
        int unfinished = mUnfinishedByGroup.merge(group, -1, Integer::sum);
        if (unfinished == 0) {
            mCompleteGroups++;
        }
        return unfinished == 0;
    }

    /** Restores the results that earlier owners listed. */
    void restore(List<SampleResult> listed) {
        Set<String> seen = new HashSet<>();
        for (SampleResult result : listed) {
            SampleProgress sample = mSamples.get(result.id());
            mListed.add(result);
            if (sample != null && seen.add(result.id())) {
                sample.mState = SampleProgress.State.FINISHED;
                countFinished(sample.mSpec.group());
            }
        }
    }
}
