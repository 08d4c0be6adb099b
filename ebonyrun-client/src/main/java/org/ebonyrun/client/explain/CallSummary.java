package org.ebonyrun.client.explain;

import java.util.ArrayList;
import java.util.List;

/**
 * What the logs tell of one call. Times are in milliseconds since the epoch.
 *
 * <p>Not thread safe.
 */
public final class CallSummary {
    private final String mRequest;
    private final long mSentAt;
    private final List<String> mAttempts = new ArrayList<>();
    private long mEndedAt;
    private String mFailure = "";

    CallSummary(String request, long sentAt) {
        mRequest = request;
        mSentAt = sentAt;
        mEndedAt = sentAt;
    }

    void onAttempt(String end, long at) {
        mAttempts.add(end);
        mEndedAt = Math.max(mEndedAt, at);
    }

    void onFailure(String why, long at) {
        mFailure = why;
        mEndedAt = Math.max(mEndedAt, at);
    }

    /** Returns the request's id. */
    public String requestId() {
        return mRequest;
    }

    /** Returns when the call was first sent to an endpoint, or was turned away. */
    public long sentAt() {
        return mSentAt;
    }

    /** Returns how long the call took, in milliseconds, as far as the logs tell. */
    public long durationMillis() {
        return mEndedAt - mSentAt;
    }

    /** Returns how the attempts ended, in order. */
    public List<String> attemptOutcomes() {
        return List.copyOf(mAttempts);
    }

    /** Returns why the call failed or was turned away; empty if it did not. */
    public String failure() {
        return mFailure;
    }
}
