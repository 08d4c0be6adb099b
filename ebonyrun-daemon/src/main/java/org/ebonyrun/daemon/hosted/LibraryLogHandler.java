package org.ebonyrun.daemon.hosted;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;

/**
 * Brings warnings of a library into the entry's log.
 *
 * <p>Thread safe: it only writes to the log.
 */
final class LibraryLogHandler extends Handler {
    private final EventLog mLog;

    private LibraryLogHandler(EventLog log) {
        mLog = log;
    }

    /** Routes what a library logs from warnings up. */
    static void install(String library, EventLog log) {
        Logger logger = Logger.getLogger(library);
        logger.setUseParentHandlers(false);
        logger.setLevel(Level.WARNING);
        logger.addHandler(new LibraryLogHandler(log));
    }

    @Override
    public void publish(LogRecord entry) {
        Throwable thrown = entry.getThrown();
        mLog.write(
                LogLine.of("library.warning")
                        .with("logger", entry.getLoggerName())
                        .with("message", entry.getMessage())
                        .with("thrown", thrown == null ? "" : thrown.toString()));
    }

    @Override
    public void flush() {
        // The log writes on its own thread.
    }

    @Override
    public void close() {
        // The log is closed by the process.
    }
}
