package org.ebonyrun.client.command;

/** Exit statuses of the client. Stateless. */
public final class ExitStatus {
    /** The command succeeded. */
    public static final int OK = 0;

    /** The command was refused or failed; it had no effect. */
    public static final int FAILED = 1;

    /** The command line is wrong. */
    public static final int USAGE = 2;

    /** A given file is invalid. */
    public static final int INVALID = 3;

    /** The outcome is unknown: the command may or may not have taken effect. */
    public static final int UNKNOWN = 4;

    private ExitStatus() {}
}
