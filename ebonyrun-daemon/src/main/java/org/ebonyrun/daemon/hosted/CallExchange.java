package org.ebonyrun.daemon.hosted;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.Executor;
import org.ebonyrun.core.call.AttemptOutcome;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a call at an endpoint.
 *
 * <p>The I/O thread collects the answer; the entry's duty reads it after {@link Listener#onEnd}.
 * With {@code streaming}, pieces of a success are passed on as they arrive.
 */
final class CallExchange extends EndpointExchange {
    /** Hears of the attempt on the entry's duty. */
    interface Listener {
        /** The head of a stream arrived. */
        void onHead(CallExchange exchange, HttpResponseHead head);

        /** A piece of a stream arrived. */
        void onChunk(CallExchange exchange, byte[] piece);

        /** The attempt ended. */
        void onEnd(CallExchange exchange, AttemptOutcome end);
    }

    private final long mAttempt;
    private final boolean mStreaming;
    private final Listener mSink;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private boolean mPassing;
    private String mDetail = "";

    CallExchange(long attempt, boolean streaming, Executor executor, Listener sink) {
        super(executor);
        mAttempt = attempt;
        mStreaming = streaming;
        mSink = sink;
    }

    long attempt() {
        return mAttempt;
    }

    @Nullable HttpResponseHead head() {
        return mHead;
    }

    byte[] body() {
        return mBody.toByteArray();
    }

    String detail() {
        return mDetail;
    }

    @Override
    public void onHead(HttpResponseHead head) {
        mHead = head;
        boolean signed = EndpointProtocol.attemptOutcome(head) == AttemptOutcome.ANSWERED;
        mPassing = mStreaming && head.isSuccess() && signed;
        if (mPassing) {
            runOnEventLoop(() -> mSink.onHead(this, head));
        }
    }

    @Override
    public void onData(byte[] data) {
        if (mPassing) {
            runOnEventLoop(() -> mSink.onChunk(this, data));
        } else {
            mBody.writeBytes(data);
        }
    }

    @Override
    public void onEnd() {
        HttpResponseHead head = mHead;
        AttemptOutcome end =
                head == null ? AttemptOutcome.LOST : EndpointProtocol.attemptOutcome(head);
        runOnEventLoop(() -> mSink.onEnd(this, end));
    }

    @Override
    public void onFailure(boolean sent, String detail) {
        mDetail = detail;
        AttemptOutcome end = sent ? AttemptOutcome.LOST : AttemptOutcome.UNREACHABLE;
        runOnEventLoop(() -> mSink.onEnd(this, end));
    }
}
