package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.ebonyrun.core.fleet.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * The progress of one sample, over all of its runs.
 *
 * <p>Invariants: {@code mEvents} and {@code mVersions} have the same length; the event at index
 * {@code i} has the number {@code i + 1} in the stream; no version is below the step's minimum; a
 * running sample has an endpoint.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class SampleProgress {
    /** The stage that a sample has reached. */
    enum State {
        WAITING,
        RUNNING,
        SCORING,
        FINISHED
    }

    final StepProgress mStep;
    final SampleSpec mSpec;
    final int mRank;
    final List<String> mEvents = new ArrayList<>();
    final List<Integer> mVersions = new ArrayList<>();
    State mState = State.WAITING;
    boolean mTextComplete;
    long mRunId;
    @Nullable Endpoint mEndpoint;
    @Nullable String mLastEndpointId;
    long mStartedAt;
    long mLastEventAt;
    int mRunVersion;
    int mRunEvents;
    int mFailures;
    int mScoreErrors;
    long mNotBefore;

    SampleProgress(StepProgress step, SampleSpec spec, int rank) {
        mStep = step;
        mSpec = spec;
        mRank = rank;
    }

    void discardText() {
        mEvents.clear();
        mVersions.clear();
        mTextComplete = false;
    }

    void restore(SampleCheckpoint checkpoint) {
        discardText();
        mEvents.addAll(checkpoint.events());
        mVersions.addAll(checkpoint.versions());
        mTextComplete = checkpoint.complete();
    }

    SampleCheckpoint checkpoint() {
        return new SampleCheckpoint(mSpec.id(), mEvents, mVersions, mTextComplete);
    }

    List<Integer> distinctVersions() {
        return List.copyOf(new TreeSet<>(mVersions));
    }
}
