package org.ebonyrun.client;

import java.io.IOException;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.client.command.AdminCommand;
import org.ebonyrun.client.command.CallCommand;
import org.ebonyrun.client.command.Command;
import org.ebonyrun.client.command.ConfigCommand;
import org.ebonyrun.client.command.DemoCommand;
import org.ebonyrun.client.command.ExitStatus;
import org.ebonyrun.client.command.ExperimentCommand;
import org.ebonyrun.client.command.ExplainCommand;
import org.ebonyrun.client.command.FaultsCommand;
import org.ebonyrun.client.command.StandinCommand;
import org.ebonyrun.client.command.StatusCommand;
import org.ebonyrun.client.command.StepCommand;

/** Main class of the command-line client {@code ebonyrun}. Stateless. */
public final class ClientMain {
    private static final List<Command> COMMANDS =
            List.of(
                    new ConfigCommand(),
                    new StatusCommand(),
                    AdminCommand.dump(),
                    AdminCommand.drain(),
                    new CallCommand(),
                    new StepCommand(),
                    new StandinCommand(),
                    new ExplainCommand(),
                    new FaultsCommand(),
                    new ExperimentCommand(),
                    new DemoCommand());

    private ClientMain() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("ebonyrun").build();
        parser.description("Operates ebonyrun and sends calls and steps to it.")
                .epilog("exit status: 0 ok, 1 refused or failed, 2 usage, 3 invalid, 4 unknown");
        Subparsers parsers = parser.addSubparsers().title("commands").metavar("COMMAND");
        COMMANDS.forEach(command -> command.register(parsers));
        try {
            Namespace options = parser.parseArgs(args);
            Command command = options.get("command");
            return command.run(options);
        } catch (HelpScreenException e) {
            parser.handleError(e);
            return ExitStatus.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitStatus.USAGE;
        } catch (IOException e) {
            System.err.println("ebonyrun: " + e.getMessage());
            return ExitStatus.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitStatus.FAILED;
        }
    }
}
