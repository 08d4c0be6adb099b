package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.ebonyrun.core.fleet.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * The progress of one sample.
 *
 * <p>Invariants: {@code mEvents} and {@code mVersions} have the same length, and the event at index
 * {@code i} has the number {@code i + 1} in the stream; no version is below the step's bound. A
 * sample that runs has an endpoint.
 *
 * <p>Not thread safe; confined to the duty of its machine.
 */
final class SampleRun {
    /** Where a sample stands. */
    enum State {
        WAITING,
        RUNNING,
        SCORING,
        FINISHED
    }

    final StepRun mStep;
    final SampleSpec mSpec;
    final int mRank;
    final List<String> mEvents = new ArrayList<>();
    final List<Integer> mVersions = new ArrayList<>();
    State mState = State.WAITING;
    boolean mTextWhole;
    long mRun;
    @Nullable Endpoint mEndpoint;
    @Nullable String mAvoid;
    long mStartedAt;
    long mLastEventAt;
    int mRunVersion;
    int mRunEvents;
    int mFailures;
    int mScoreErrors;
    long mNotBefore;

    SampleRun(StepRun step, SampleSpec spec, int rank) {
        mStep = step;
        mSpec = spec;
        mRank = rank;
    }

    void dropText() {
        mEvents.clear();
        mVersions.clear();
        mTextWhole = false;
    }

    void restore(PartialText partial) {
        dropText();
        mEvents.addAll(partial.events());
        mVersions.addAll(partial.versions());
        mTextWhole = partial.complete();
    }

    PartialText partial() {
        return new PartialText(mSpec.id(), mEvents, mVersions, mTextWhole);
    }

    List<Integer> distinctVersions() {
        return List.copyOf(new TreeSet<>(mVersions));
    }
}
