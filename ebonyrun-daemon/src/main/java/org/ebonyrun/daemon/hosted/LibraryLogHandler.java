package org.ebonyrun.daemon.hosted;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;

/**
 * Forwards the warnings that a library logs through {@code java.util.logging} to the entry's log.
 *
 * <p>Thread safe: it only writes to the log.
 */
final class LibraryLogHandler extends Handler {
    private final EventLog mLog;

    private LibraryLogHandler(EventLog log) {
        mLog = log;
    }

    /** Forwards a library's records of level {@code WARNING} and above to the log. */
    static void install(String library, EventLog log) {
        Logger logger = Logger.getLogger(library);
        logger.setUseParentHandlers(false);
        logger.setLevel(Level.WARNING);
        logger.addHandler(new LibraryLogHandler(log));
    }

    @Override
    public void publish(LogRecord logRecord) {
        Throwable thrown = logRecord.getThrown();
        mLog.write(
                LogLine.of("library.warning")
                        .with("logger", logRecord.getLoggerName())
                        .with("message", logRecord.getMessage())
                        .with("thrown", thrown == null ? "" : thrown.toString()));
    }

    @Override
    public void flush() {
        // The log flushes on its own thread.
    }

    @Override
    public void close() {
        // The log is closed by the process.
    }
}
