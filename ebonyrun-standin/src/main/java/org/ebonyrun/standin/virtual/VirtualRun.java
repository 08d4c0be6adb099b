package org.ebonyrun.standin.virtual;

import java.util.List;
import java.util.TreeSet;
import org.ebonyrun.base.id.AttemptId;

/** One run at a virtual endpoint, and the entry of its log. Not thread safe. */
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

    /** Returns the prompt, which names the request. */
    public String prompt() {
        return mRequest.prompt();
    }

    /** Returns how many tokens were produced. */
    public int tokens() {
        return mSentTokens;
    }

    /** Returns whether the run was stopped before its end. */
    public boolean isStopped() {
        return mStopped;
    }

    /** Returns whether the whole answer was produced. */
    public boolean isFinished() {
        return mFinished;
    }

    /** Returns the run's id, which begins its answer. */
    public String runId() {
        return mRunId;
    }

    /** Returns the versions that produced tokens, ascending. */
    public List<Long> versions() {
        return List.copyOf(mVersions);
    }

    /** Returns the beginning of the answer: whose it is. */
    String answerPrefix() {
        return mRunId + ":" + mRequest.prompt();
    }

    /** Returns the text of the tokens of one piece. */
    String pieceText(int from, int to) {
        return " " + from + "-" + to;
    }

    /**
     * Returns the whole answer's text.
     *
     * @param tokensPerPiece tokens in each piece of the stream
     */
    public String completeText(int tokensPerPiece) {
        StringBuilder text = new StringBuilder(answerPrefix());
        for (int from = 0; from < mRequest.tokens(); from += tokensPerPiece) {
            text.append(pieceText(from, Math.min(mRequest.tokens(), from + tokensPerPiece)));
        }
        return text.toString();
    }
}
