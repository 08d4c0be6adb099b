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
 * What the logs tell of one step. Times are in milliseconds since the epoch.
 *
 * <p>Not thread safe.
 */
public final class StepSummary {
    private final String mId;
    private final String mModel;
    private final int mNumber;
    private final int mSamples;
    private final long mAskedAt;
    private final Set<String> mSent = new HashSet<>();
    private final Map<String, Long> mFinished = new TreeMap<>();
    private final Map<String, Integer> mFailedRuns = new TreeMap<>();
    private OptionalLong mEndedAt = OptionalLong.empty();
    private int mOwners = 1;

    StepSummary(String id, String model, int number, int samples, long askedAt) {
        mId = id;
        mModel = model;
        mNumber = number;
        mSamples = samples;
        mAskedAt = askedAt;
    }

    void onOwnerChange() {
        mOwners++;
    }

    void onSampleSent(String sample) {
        mSent.add(sample);
    }

    void onSampleComplete(String sample, long at) {
        mFinished.putIfAbsent(sample, at);
    }

    void onFailedRun(String why) {
        mFailedRuns.merge(why, 1, Integer::sum);
    }

    void onEnded(long at) {
        if (mEndedAt.isEmpty()) {
            mEndedAt = OptionalLong.of(at);
        }
    }

    /** Returns the step's id. */
    public String id() {
        return mId;
    }

    /** Returns the model that the step's trainer trains. */
    public String model() {
        return mModel;
    }

    /** Returns the step's number, from zero. */
    public int number() {
        return mNumber;
    }

    /** Returns how many samples the step has. */
    public int sampleCount() {
        return mSamples;
    }

    /** Returns when an entry accepted the step. */
    public long acceptedAt() {
        return mAskedAt;
    }

    /** Returns how many processes owned the step in turn. */
    public int ownerCount() {
        return mOwners;
    }

    /** Returns how many samples no endpoint was sent. */
    public int unsentSamples() {
        return mSamples - mSent.size();
    }

    /** Returns when a share of the samples that became whole were so; empty if none did. */
    public OptionalLong completedAt(double share) {
        if (mFinished.isEmpty()) {
            return OptionalLong.empty();
        }
        List<Long> times = new ArrayList<>(mFinished.values());
        Collections.sort(times);
        int index = (int) Math.ceil(share * times.size()) - 1;
        return OptionalLong.of(times.get(Math.max(0, index)));
    }

    /** Returns when the step's trainer ended it, as its owner or another entry heard first. */
    public OptionalLong endedAt() {
        return mEndedAt;
    }

    /** Returns how many runs ended without a whole text, by reason. */
    public Map<String, Integer> failedRuns() {
        return Collections.unmodifiableMap(mFailedRuns);
    }
}
