package org.ebonyrun.client.explain;

import java.util.ArrayList;
import java.util.List;

/**
 * Times, attempts and failure of one call, reconstructed from log events. Times are in milliseconds
 * since the epoch.
 *
 * <p>Not thread safe.
 */
public final class CallSummary {
    private final String mRequestId;
    private final long mSentAt;
    private final List<String> mAttemptOutcomes = new ArrayList<>();
    private long mLastEventAt;
    private String mFailure = "";

    CallSummary(String requestId, long sentAt) {
        mRequestId = requestId;
        mSentAt = sentAt;
        mLastEventAt = sentAt;
    }

    void onAttempt(String outcome, long at) {
        mAttemptOutcomes.add(outcome);
        mLastEventAt = Math.max(mLastEventAt, at);
    }

    void onFailure(String reason, long at) {
        mFailure = reason;
        mLastEventAt = Math.max(mLastEventAt, at);
    }

    /** Returns the request ID. */
    public String requestId() {
        return mRequestId;
    }

    /** Returns when the call was first sent to an endpoint, or was refused. */
    public long sentAt() {
        return mSentAt;
    }

    /**
     * Returns the time from {@link #sentAt} to the last logged event of the call, in milliseconds.
     */
    public long durationMillis() {
        return mLastEventAt - mSentAt;
    }

    /** Returns the outcome of each attempt, in the order in which the attempts ended. */
    public List<String> attemptOutcomes() {
        return List.copyOf(mAttemptOutcomes);
    }

    /** Returns the reason for which the call failed or was refused; empty if neither. */
    public String failure() {
        return mFailure;
    }
}
