package org.ebonyrun.daemon.hosted;

import java.io.ByteArrayOutputStream;
import org.ebonyrun.core.call.AttemptOutcome;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.FlowControl;
import org.ebonyrun.ports.http.HttpExchange;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP exchange of one attempt of a call at an endpoint.
 *
 * <p>The I/O thread collects the response; the entry's event loop reads it after {@link
 * Listener#onEnd}. With {@code streaming}, the body of a successful response is passed on in chunks
 * as they arrive, and so is the body of any answer that is too large to be collected. No more is
 * read from the endpoint while too much waits to be written to the caller.
 */
final class CallExchange extends EndpointExchange {
    /** Receives the progress of the attempt on the entry's event loop. */
    interface Listener {
        /** Called with the head of a response whose body is passed on as a stream. */
        void onHead(CallExchange exchange, HttpResponseHead head);

        /** Called for each chunk of a streamed body, in order. */
        void onChunk(CallExchange exchange, byte[] chunk);

        /** Called once, when the attempt has ended. */
        void onEnd(CallExchange exchange, AttemptOutcome outcome);
    }

    // The most bytes of a body that are collected.
    private static final int MAX_COLLECTED_BYTES = 256 * 1024;

    private final long mAttempt;
    private final boolean mStreaming;
    private final Listener mListener;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private @Nullable FlowControl mFlowControl;
    private boolean mAnswered;
    private boolean mPassThrough;
    private boolean mTooLong;
    private String mDetail = "";
    private volatile boolean mBroken;

    CallExchange(
            long attempt,
            boolean streaming,
            Endpoint endpoint,
            HostedContext context,
            Listener listener) {
        super(endpoint, context);
        mAttempt = attempt;
        mStreaming = streaming;
        mListener = listener;
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

    /** Returns whether the connection broke after the request was sent. */
    boolean isBroken() {
        return mBroken;
    }

    @Override
    public void onStart(HttpExchange exchange) {
        super.onStart(exchange);
        mFlowControl = FlowControl.of(exchange);
    }

    @Override
    void handleHead(HttpResponseHead head) {
        mAnswered = EndpointProtocol.attemptOutcome(head) == AttemptOutcome.ANSWERED;
        if (mStreaming && head.isSuccess() && mAnswered) {
            startPassThrough(head);
        }
    }

    private void startPassThrough(HttpResponseHead head) {
        mPassThrough = true;
        runOnEventLoop(() -> mListener.onHead(this, head));
    }

    @Override
    public void onData(byte[] data) {
        if (mPassThrough) {
            passOn(data);
        } else if (mTooLong) {
            // The attempt is being cancelled.
            return;
        } else if (mBody.size() + data.length <= MAX_COLLECTED_BYTES) {
            mBody.writeBytes(data);
        } else if (mAnswered && mHead != null) {
            startPassThrough(mHead);
            passOn(mBody.toByteArray());
            mBody.reset();
            passOn(data);
        } else {
            // The body of a failure that does not end.
            mTooLong = true;
            runOnEventLoop(this::cancel);
        }
    }

    private void passOn(byte[] chunk) {
        FlowControl flowControl = mFlowControl;
        if (flowControl != null) {
            flowControl.onReceived(chunk.length);
        }
        runOnEventLoop(() -> mListener.onChunk(this, chunk));
    }

    /** Ends the attempt, whose response is of no use. */
    void reject(String detail) {
        mDetail = detail;
        cancel();
    }

    /** Handles bytes of the body that were written to the caller, or dropped. */
    void onWritten(int bytes) {
        FlowControl flowControl = mFlowControl;
        if (flowControl != null) {
            flowControl.onWritten(bytes);
        }
    }

    @Override
    public void onEnd() {
        HttpResponseHead head = mHead;
        AttemptOutcome outcome =
                head == null ? AttemptOutcome.LOST : EndpointProtocol.attemptOutcome(head);
        runOnEventLoop(() -> mListener.onEnd(this, outcome));
    }

    @Override
    public void onFailure(boolean sent, String detail) {
        mDetail = detail;
        mBroken = sent;
        AttemptOutcome outcome = sent ? AttemptOutcome.LOST : AttemptOutcome.UNREACHABLE;
        runOnEventLoop(() -> mListener.onEnd(this, outcome));
    }
}
