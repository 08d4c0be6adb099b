package org.ebonyrun.daemon.hosted;

import java.io.ByteArrayOutputStream;
import org.ebonyrun.core.call.AttemptOutcome;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP exchange of one attempt of a call at an endpoint.
 *
 * <p>The I/O thread collects the response; the entry's event loop reads it after {@link
 * Listener#onEnd}. With {@code streaming}, the body of a successful response is passed on in chunks
 * as they arrive.
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

    private final long mAttempt;
    private final boolean mStreaming;
    private final Listener mListener;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private boolean mPassThrough;
    private String mDetail = "";

    CallExchange(
            long attempt,
            boolean streaming,
            EndpointRecord endpoint,
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

    @Override
    void handleHead(HttpResponseHead head) {
        boolean answered = EndpointProtocol.attemptOutcome(head) == AttemptOutcome.ANSWERED;
        mPassThrough = mStreaming && head.isSuccess() && answered;
        if (mPassThrough) {
            runOnEventLoop(() -> mListener.onHead(this, head));
        }
    }

    @Override
    public void onData(byte[] data) {
        if (mPassThrough) {
            runOnEventLoop(() -> mListener.onChunk(this, data));
        } else {
            mBody.writeBytes(data);
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
        AttemptOutcome outcome = sent ? AttemptOutcome.LOST : AttemptOutcome.UNREACHABLE;
        runOnEventLoop(() -> mListener.onEnd(this, outcome));
    }
}
