package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.step.RunOutcome;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.ebonyrun.ports.http.SseEvent;
import org.ebonyrun.ports.http.SseEventParser;

/**
 * The HTTP exchange of one run of a sample at an endpoint.
 *
 * <p>The I/O thread parses the stream into events. They reach the entry's event loop in order, all
 * events of one network read in one batch.
 */
final class SampleExchange extends EndpointExchange {
    /** Receives the progress of the run on the entry's event loop. */
    interface Listener {
        /** Called when the stream starts, with the weight version with which it begins. */
        void onStreamStart(long run, int version);

        /** Called with the events that have arrived since the last call. */
        void onEvents(long run, List<SseEvent> events);

        /** Called once, when the run has ended. */
        void onEnd(long run, RunOutcome outcome, String detail);
    }

    // The most bytes of a body that is not a stream, for example of a rejection.
    private static final int MAX_OTHER_BYTES = 64 * 1024;

    private final long mRun;
    private final Listener mListener;
    private List<SseEvent> mEvents = new ArrayList<>();
    private final SseEventParser mParser = SseEventParser.create(event -> mEvents.add(event));
    private boolean mIsStream;
    private boolean mMalformed;
    private int mOtherBytes;
    private volatile int mEventCount;

    SampleExchange(long run, Endpoint endpoint, HostedContext context, Listener listener) {
        super(endpoint, context);
        mRun = run;
        mListener = listener;
    }

    /** Returns the number of events that have arrived. */
    int eventCount() {
        return mEventCount;
    }

    @Override
    void handleHead(HttpResponseHead head) {
        mIsStream = EndpointProtocol.isStream(head);
        if (mIsStream) {
            int version = EndpointProtocol.weightVersion(head);
            runOnEventLoop(() -> mListener.onStreamStart(mRun, version));
        }
    }

    @Override
    public void onData(byte[] data) {
        if (mMalformed) {
            return;
        }
        if (!mIsStream) {
            mOtherBytes += data.length;
            endIfMalformed(mOtherBytes > MAX_OTHER_BYTES);
            return;
        }
        endIfMalformed(!mParser.feed(data));
        if (!mEvents.isEmpty()) {
            List<SseEvent> events = mEvents;
            mEventCount += events.size();
            mEvents = new ArrayList<>();
            runOnEventLoop(() -> mListener.onEvents(mRun, events));
        }
    }

    @Override
    public void onEnd() {
        RunOutcome outcome = runOutcome();
        String detail = mHead == null ? "no response head" : "status " + mHead.status();
        runOnEventLoop(() -> mListener.onEnd(mRun, outcome, detail));
    }

    private void endIfMalformed(boolean malformed) {
        mMalformed = malformed;
        if (malformed) {
            runOnEventLoop(this::cancel);
        }
    }

    private RunOutcome runOutcome() {
        if (mHead == null || mMalformed) {
            return RunOutcome.BROKEN;
        }
        if (!mIsStream) {
            return EndpointProtocol.runOutcome(mHead, endpointId());
        }
        if (!mParser.isBetweenEvents()) {
            return RunOutcome.BROKEN;
        }
        return mHead.framed() ? RunOutcome.COMPLETE : RunOutcome.UNFRAMED;
    }

    @Override
    public void onFailure(boolean sent, String detail) {
        RunOutcome outcome = sent ? RunOutcome.BROKEN : RunOutcome.UNREACHABLE;
        runOnEventLoop(() -> mListener.onEnd(mRun, outcome, detail));
    }
}
