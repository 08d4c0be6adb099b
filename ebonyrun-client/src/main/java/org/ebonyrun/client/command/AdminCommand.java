package org.ebonyrun.client.command;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Sends one administrative request to a process and prints the JSON response.
 *
 * <p>Immutable and thread safe.
 */
public final class AdminCommand implements Command {
    private final String mName;
    private final String mHelp;
    private final String mMethod;
    private final String mPath;

    private AdminCommand(String name, String help, String method, String path) {
        mName = name;
        mHelp = help;
        mMethod = method;
        mPath = path;
    }

    /** Creates the command that prints the internal state of a process. */
    public static AdminCommand dump() {
        return new AdminCommand("dump", "print the state of a process", "GET", "/admin/dump");
    }

    /** Creates the command that starts a graceful shutdown of a process. */
    public static AdminCommand drain() {
        return new AdminCommand(
                "drain",
                "make a process refuse new work and finish the work it has",
                "POST",
                "/admin/drain");
    }

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser(mName)
                        .help(mHelp)
                        .epilog("example: ebonyrun " + mName + " --at http://10.0.0.5:8081");
        parser.setDefault("command", this);
        RemoteProcess.addOptions(parser);
    }

    @Override
    public int run(Namespace options) throws IOException {
        try (RemoteProcess remote = RemoteProcess.open(options)) {
            return RemoteProcess.printResponse(
                    remote.send(mMethod, mPath, new byte[0]), System.out);
        }
    }
}
