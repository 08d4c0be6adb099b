package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.ebonyrun.core.route.Route;

/**
 * The progress of one step that this process owns.
 *
 * <p>Invariants: {@code mListed} holds what the store acknowledged, in the order of positions;
 * {@code mStoring} is what is being stored from position {@code mListed.size()} on; a sample is in
 * at most one of listed, storing and finished.
 *
 * <p>Not thread safe; confined to the duty of its machine.
 */
final class StepProgress {
    final StepSpec mSpec;
    final Route mRoute;
    final long mDueAt;
    final long mAbandonAt;
    final Map<String, SampleProgress> mSamples = new LinkedHashMap<>();
    final List<SampleResult> mListed = new ArrayList<>();
    final List<SampleResult> mFinished = new ArrayList<>();
    List<SampleResult> mStoring = List.of();
    long mFinishedSince;
    boolean mEnded;
    private final Map<String, Integer> mMissing = new HashMap<>();
    private int mWholeGroups;

    StepProgress(StepSpec spec, Route route, long dueAt, long giveUpAt) {
        mSpec = spec;
        mRoute = route;
        mDueAt = dueAt;
        mAbandonAt = giveUpAt;
        Map<String, Integer> ranks = GroupRanking.rankGroups(spec);
        for (SampleSpec sample : spec.samples()) {
            mSamples.put(sample.id(), new SampleProgress(this, sample, ranks.get(sample.group())));
            mMissing.merge(sample.group(), 1, Integer::sum);
        }
    }

    boolean isComplete() {
        return mListed.size() == mSamples.size();
    }

    boolean areAllFinished() {
        return mListed.size() + mStoring.size() + mFinished.size() == mSamples.size();
    }

    /** Returns the results that are not listed yet. */
    Stream<SampleResult> unlistedResults() {
        return Stream.concat(mStoring.stream(), mFinished.stream());
    }

    /** Returns whether the trainer still waits for groups. */
    boolean needsMoreGroups() {
        return mWholeGroups < mSpec.wantedGroups();
    }

    /** Notes that a sample is finished; returns whether its group is whole now. */
    boolean finish(SampleProgress sample, SampleResult result, long now) {
        sample.mState = SampleProgress.State.FINISHED;
        sample.mEvents.clear();
        if (mFinished.isEmpty()) {
            mFinishedSince = now;
        }
        mFinished.add(result);
        return countDown(sample.mSpec.group());
    }

    private boolean countDown(String group) {
        int left = mMissing.merge(group, -1, Integer::sum);
        if (left == 0) {
            mWholeGroups++;
        }
        return left == 0;
    }

    /** Takes in results that were listed by an owner before. */
    void restore(List<SampleResult> listed) {
        Set<String> seen = new HashSet<>();
        for (SampleResult result : listed) {
            SampleProgress sample = mSamples.get(result.id());
            mListed.add(result);
            if (sample != null && seen.add(result.id())) {
                sample.mState = SampleProgress.State.FINISHED;
                countDown(sample.mSpec.group());
            }
        }
    }
}
