package org.ebonyrun.client.command;

/** Exit statuses of the client. Stateless. */
public final class ExitStatus {
    /** The command succeeded. */
    public static final int OK = 0;

    /** The command was refused or failed; nothing was changed. */
    public static final int FAILED = 1;

    /** The command line is wrong. */
    public static final int USAGE = 2;

    /** A file is not valid. */
    public static final int INVALID = 3;

    /** Whether the command took effect is not known. */
    public static final int UNKNOWN = 4;

    private ExitStatus() {}
}
