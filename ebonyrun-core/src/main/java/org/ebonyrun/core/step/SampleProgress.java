package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * The progress of one sample, over all of its runs.
 *
 * <p>Invariants: {@code mEvents} and {@code mVersions} have the same length; the event at index
 * {@code i} has the number {@code i + 1} in the stream; no version is below the step's minimum; a
 * running sample has an endpoint; {@code mOrigin} generated all events, and is null if there are
 * none or if the text is complete.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class SampleProgress {
    private static final int MAX_REJECTED_BY = 64;

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
    private final Set<String> mRejectedBy = new HashSet<>();
    final List<String> mEvents = new ArrayList<>();
    final List<Integer> mVersions = new ArrayList<>();
    @Nullable StreamOrigin mOrigin;
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
    int mScoreFailures;
    long mNotBefore;

    SampleProgress(StepProgress step, SampleSpec spec, int rank) {
        mStep = step;
        mSpec = spec;
        mRank = rank;
    }

    /** Records that an endpoint rejected the sample without running it. */
    void onRejected(Endpoint endpoint) {
        if (mRejectedBy.size() == MAX_REJECTED_BY) {
            mRejectedBy.clear();
        }
        mRejectedBy.add(endpoint.id());
    }

    /** Returns whether an endpoint has rejected the sample. */
    boolean isRejectedBy(Endpoint endpoint) {
        return mRejectedBy.contains(endpoint.id());
    }

    /** Returns whether the sample's last run was at an endpoint, or it rejected the sample. */
    boolean wasTriedAt(Endpoint endpoint) {
        return endpoint.id().equals(mLastEndpointId) || isRejectedBy(endpoint);
    }

    /** Returns whether any endpoint has rejected the sample. */
    boolean isRejected() {
        return !mRejectedBy.isEmpty();
    }

    void discardText() {
        mEvents.clear();
        mVersions.clear();
        mOrigin = null;
        mTextComplete = false;
    }

    void restore(SampleCheckpoint checkpoint) {
        discardText();
        mEvents.addAll(checkpoint.events());
        mVersions.addAll(checkpoint.versions());
        mOrigin = checkpoint.origin();
        mTextComplete = checkpoint.complete();
    }

    SampleCheckpoint checkpoint() {
        return new SampleCheckpoint(mSpec.id(), mEvents, mVersions, mOrigin, mTextComplete);
    }

    /**
     * Returns whether a run at an endpoint can go on with the text generated so far: the endpoint
     * has the same software and, if the route requires a single weight version, the same weights.
     */
    boolean canGoOnAt(Endpoint endpoint) {
        return hasOriginOf(endpoint) && (mVersions.isEmpty() || allowsVersionOf(endpoint));
    }

    /** Returns whether the software of an endpoint can go on with the text generated so far. */
    boolean hasOriginOf(Endpoint endpoint) {
        return mEvents.isEmpty() || (mOrigin != null && mOrigin.includes(endpoint.record()));
    }

    private boolean allowsVersionOf(Endpoint endpoint) {
        return !mStep.mRoute.step().singleVersion()
                || mVersions.get(0) == endpoint.version(mStep.mSpec.model());
    }

    /** Returns the result of a sample whose text is complete. */
    SampleResult completeResult(String score) {
        List<Integer> versions = List.copyOf(new TreeSet<>(mVersions));
        return new SampleResult(mSpec.id(), true, String.join("\n", mEvents), versions, score);
    }

    /** Handles the end of a run: the sample has no endpoint any more. */
    void releaseEndpoint() {
        if (mEndpoint != null) {
            mEndpoint.onEnded();
            mEndpoint = null;
        }
    }
}
