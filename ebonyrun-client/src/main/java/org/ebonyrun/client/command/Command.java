package org.ebonyrun.client.command;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** One command of the client. Implementations are stateless. */
public interface Command {
    /** Adds the command and its options to the command-line parser. */
    void register(Subparsers parsers);

    /** Runs the command and returns its exit status. */
    int run(Namespace options) throws IOException, InterruptedException;
}
