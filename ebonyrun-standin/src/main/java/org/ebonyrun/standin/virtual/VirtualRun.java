package org.ebonyrun.standin.virtual;

import java.util.List;
import java.util.TreeSet;
import org.ebonyrun.base.id.AttemptId;

/** One run at a virtual endpoint, kept in its log. Not thread safe. */
public final class VirtualRun {
    final String mRunId;
    final AttemptId mAttempt;
    final VirtualRequest mRequest;
    final long mStartedAt;
    final TreeSet<Long> mVersions = new TreeSet<>();
    int mSentTokens;
    boolean mStopped;
    boolean mFinished;

    VirtualRun(String runId, AttemptId attempt, VirtualRequest request, long startedAt) {
        mRunId = runId;
        mAttempt = attempt;
        mRequest = request;
        mStartedAt = startedAt;
    }

    /** Returns the prompt, which is unique to the request. */
    public String prompt() {
        return mRequest.prompt();
    }

    /** Returns the number of tokens generated. */
    public int tokens() {
        return mSentTokens;
    }

    /** Returns whether the run was stopped before its end. */
    public boolean isStopped() {
        return mStopped;
    }

    /** Returns whether the complete response was generated. */
    public boolean isFinished() {
        return mFinished;
    }

    /** Returns the run's ID, which the response starts with. */
    public String runId() {
        return mRunId;
    }

    /** Returns the weight versions that generated tokens, in ascending order. */
    public List<Long> versions() {
        return List.copyOf(mVersions);
    }

    /** Returns the start of the response, which identifies the run and the request. */
    String answerPrefix() {
        return mRunId + ":" + mRequest.prompt();
    }

    /** Returns the text of the tokens from {@code from} up to, but not including, {@code to}. */
    String pieceText(int from, int to) {
        return " " + from + "-" + to;
    }

    /**
     * Returns the text of the complete response.
     *
     * @param tokensPerPiece tokens per piece of the stream
     */
    public String completeText(int tokensPerPiece) {
        StringBuilder text = new StringBuilder(answerPrefix());
        for (int from = 0; from < mRequest.tokens(); from += tokensPerPiece) {
            text.append(pieceText(from, Math.min(mRequest.tokens(), from + tokensPerPiece)));
        }
        return text.toString();
    }
}
