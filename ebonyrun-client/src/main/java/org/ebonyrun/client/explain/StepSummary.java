package org.ebonyrun.client.explain;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * Times, samples and owners of one step, reconstructed from log events. Times are in milliseconds
 * since the epoch.
 *
 * <p>Not thread safe.
 */
public final class StepSummary {
    private final String mId;
    private final String mModel;
    private final int mNumber;
    private final int mSampleCount;
    private final long mAcceptedAt;
    private final Set<String> mSentSamples = new HashSet<>();
    private final Map<String, Long> mCompletionTimes = new TreeMap<>();
    private final Map<String, Integer> mFailedRuns = new TreeMap<>();
    private OptionalLong mEndedAt = OptionalLong.empty();
    private int mOwnerCount = 1;

    StepSummary(String id, String model, int number, int sampleCount, long acceptedAt) {
        mId = id;
        mModel = model;
        mNumber = number;
        mSampleCount = sampleCount;
        mAcceptedAt = acceptedAt;
    }

    void onOwnerChange() {
        mOwnerCount++;
    }

    void onSampleSent(String sample) {
        mSentSamples.add(sample);
    }

    void onSampleComplete(String sample, long at) {
        mCompletionTimes.putIfAbsent(sample, at);
    }

    void onFailedRun(String reason) {
        mFailedRuns.merge(reason, 1, Integer::sum);
    }

    void onEnded(long at) {
        if (mEndedAt.isEmpty()) {
            mEndedAt = OptionalLong.of(at);
        }
    }

    /** Returns the step ID. */
    public String id() {
        return mId;
    }

    /** Returns the model that the step's trainer trains. */
    public String model() {
        return mModel;
    }

    /** Returns the step's number, counted from zero. */
    public int number() {
        return mNumber;
    }

    /** Returns the number of samples of the step. */
    public int sampleCount() {
        return mSampleCount;
    }

    /** Returns when an entry accepted the step. */
    public long acceptedAt() {
        return mAcceptedAt;
    }

    /** Returns the number of processes that owned the step, one after the other. */
    public int ownerCount() {
        return mOwnerCount;
    }

    /** Returns the number of samples that were never sent to an endpoint. */
    public int unsentSamples() {
        return mSampleCount - mSentSamples.size();
    }

    /**
     * Returns when the given share of the completed samples was complete; empty if no sample was
     * completed.
     */
    public OptionalLong completedAt(double share) {
        if (mCompletionTimes.isEmpty()) {
            return OptionalLong.empty();
        }
        List<Long> times = new ArrayList<>(mCompletionTimes.values());
        Collections.sort(times);
        int index = (int) Math.ceil(share * times.size()) - 1;
        return OptionalLong.of(times.get(Math.max(0, index)));
    }

    /**
     * Returns when the step's trainer ended it: the earliest log event of its owner or of the entry
     * that received the request; empty if there is none.
     */
    public OptionalLong endedAt() {
        return mEndedAt;
    }

    /** Returns the number of runs that ended without a complete text, by reason. */
    public Map<String, Integer> failedRuns() {
        return Collections.unmodifiableMap(mFailedRuns);
    }
}
