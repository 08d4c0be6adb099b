package org.ebonyrun.base.eventloop;

/**
 * Ends the process after an error that leaves one of its threads dead or in an unknown state, so
 * that other processes take over instead of waiting for this one.
 *
 * <p>Stateless and thread safe.
 */
public final class FatalErrors {
    /** The exit status of a process that ended because of an unexpected error. */
    public static final int EXIT_STATUS = 71;

    private FatalErrors() {}

    /** Makes the process exit when any of its threads dies of an exception. */
    public static void exitOnUncaughtExceptions() {
        Thread.setDefaultUncaughtExceptionHandler(FatalErrors::exit);
    }

    /**
     * Handles an error that the caller of the present code would catch, so that the thread would go
     * on: passes it to the default handler of uncaught exceptions. The threads of libraries may
     * have handlers of their own, which only print it.
     */
    public static void report(Error error) {
        Thread thread = Thread.currentThread();
        Thread.UncaughtExceptionHandler handler = Thread.getDefaultUncaughtExceptionHandler();
        if (handler == null) {
            thread.getThreadGroup().uncaughtException(thread, error);
        } else {
            handler.uncaughtException(thread, error);
        }
    }

    /** Runs a task on a thread whose owner would catch its errors; reports and rethrows them. */
    public static void runReporting(Runnable task) {
        try {
            task.run();
        } catch (Error e) {
            report(e);
            throw e;
        }
    }

    private static void exit(Thread thread, Throwable error) {
        try {
            StackTraceElement[] trace = error.getStackTrace();
            System.err.println(
                    "fatal: thread "
                            + thread.getName()
                            + ": "
                            + String.valueOf(error).replace('\n', ' ')
                            + (trace.length == 0 ? "" : " at " + trace[0])
                            + "; the process exits");
        } finally {
            // Without shutdown hooks, since one may wait for the dead thread.
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }
}
