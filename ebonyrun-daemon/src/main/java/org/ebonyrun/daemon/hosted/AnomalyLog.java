package org.ebonyrun.daemon.hosted;

import java.util.concurrent.Executor;
import org.ebonyrun.base.eventloop.EventLoopErrorListener;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.ports.http.DroppedResponse;
import org.ebonyrun.ports.http.DroppedResponseListener;

/**
 * Logs and counts what should not happen: responses that match no request, and exceptions that no
 * code expected.
 *
 * <p>Thread safe; the metrics are updated on the entry's event loop.
 */
final class AnomalyLog implements DroppedResponseListener, EventLoopErrorListener {
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final Executor mExecutor;

    AnomalyLog(EventLog log, EntryMetrics metrics, Executor executor) {
        mLog = log;
        mMetrics = metrics;
        mExecutor = executor;
    }

    @Override
    public void onDroppedResponse(DroppedResponse response) {
        mLog.write(
                LogLine.of("answer.dropped")
                        .with("request", response.awaitedId())
                        .with("answer_to", EndpointProtocol.requestId(response.head()))
                        .with("status", response.head().status())
                        .with("reason", response.reason())
                        .with("peer", response.peer())
                        .with("connection", response.connectionUse().connection())
                        .with("connection_requests", response.connectionUse().requests())
                        .with("connection_idle_ms", response.connectionUse().idleMillis()));
        mExecutor.execute(
                () -> mMetrics.count(EntryMetrics.DROPPED_RESPONSES, response.reason().name()));
    }

    @Override
    public void onException(String what, RuntimeException exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        mMetrics.count(EntryMetrics.UNEXPECTED_ERRORS, exception.getClass().getSimpleName());
        mLog.write(
                LogLine.of("error.unexpected")
                        .with("what", what)
                        .with("thrown", exception)
                        .with("at", trace.length == 0 ? "" : trace[0]));
    }
}
