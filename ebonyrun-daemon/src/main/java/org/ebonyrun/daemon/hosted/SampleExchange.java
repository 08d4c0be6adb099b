package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.ebonyrun.core.step.RunOutcome;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.HttpResponseHead;
import org.ebonyrun.ports.http.SseEvent;
import org.ebonyrun.ports.http.SseEventParser;

/**
 * One run of a sample at an endpoint.
 *
 * <p>The I/O thread cuts the stream into events; they reach the entry's duty in order, those of one
 * read together.
 */
final class SampleExchange extends EndpointExchange {
    /** Hears of the run on the entry's duty. */
    interface Listener {
        /** The stream began. */
        void onStreamStart(long run, int version);

        /** Events arrived. */
        void onEvents(long run, List<SseEvent> events);

        /** The run ended. */
        void onEnd(long run, RunOutcome end, String detail);
    }

    private final long mRun;
    private final String mEndpoint;
    private final Listener mSink;
    private List<SseEvent> mEvents = new ArrayList<>();
    private final SseEventParser mParser = SseEventParser.create(event -> mEvents.add(event));
    private boolean mStream;
    private boolean mBroken;
    private volatile int mCount;

    SampleExchange(long run, String endpoint, Executor executor, Listener sink) {
        super(executor);
        mRun = run;
        mEndpoint = endpoint;
        mSink = sink;
    }

    /** Returns how many events have arrived. */
    int eventCount() {
        return mCount;
    }

    @Override
    public void onHead(HttpResponseHead head) {
        mHead = head;
        mStream = EndpointProtocol.isStream(head);
        if (mStream) {
            int version = EndpointProtocol.weightVersion(head);
            runOnEventLoop(() -> mSink.onStreamStart(mRun, version));
        }
    }

    @Override
    public void onData(byte[] data) {
        if (!mStream || mBroken) {
            return;
        }
        mBroken = !mParser.feed(data);
        if (!mEvents.isEmpty()) {
            List<SseEvent> events = mEvents;
            mCount += events.size();
            mEvents = new ArrayList<>();
            runOnEventLoop(() -> mSink.onEvents(mRun, events));
        }
    }

    @Override
    public void onEnd() {
        RunOutcome end = end();
        String detail = mHead == null ? "no head" : "status " + mHead.status();
        runOnEventLoop(() -> mSink.onEnd(mRun, end, detail));
    }

    private RunOutcome end() {
        if (mHead == null || mBroken) {
            return RunOutcome.BROKEN;
        }
        if (!mStream) {
            return EndpointProtocol.runOutcome(mHead, mEndpoint);
        }
        if (!mParser.isBetweenEvents()) {
            return RunOutcome.BROKEN;
        }
        return mHead.framed() ? RunOutcome.COMPLETE : RunOutcome.UNFRAMED;
    }

    @Override
    public void onFailure(boolean sent, String detail) {
        RunOutcome end = sent ? RunOutcome.BROKEN : RunOutcome.UNREACHABLE;
        runOnEventLoop(() -> mSink.onEnd(mRun, end, detail));
    }
}
