package org.ebonyrun.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.ebonyrun.base.eventloop.FatalErrors;
import org.ebonyrun.core.settings.Problem;
import org.ebonyrun.daemon.agent.AgentNode;
import org.ebonyrun.daemon.entry.EntryNode;
import org.ebonyrun.daemon.hosted.HostedMain;
import org.tinylog.Logger;

/** Main class of the binary {@code ebonyrund}. Stateless. */
public final class DaemonMain {
    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_START = 4;

    private DaemonMain() {}

    /** A process that can be shut down gracefully. */
    @FunctionalInterface
    private interface Node {
        boolean drainAndClose() throws InterruptedException;
    }

    /** Starts a daemon and runs it until the process is stopped. */
    public static void main(String[] args) {
        FatalErrors.exitOnUncaughtExceptions();
        int status = run(args);
        if (status != EXIT_OK) {
            System.exit(status);
        }
    }

    private static int run(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("ebonyrund").build();
        parser.description("Runs an entry, or the agent beside an endpoint.")
                .epilog("example: ebonyrund --settings /etc/ebonyrun/entry.yaml");
        parser.addArgument("--settings").required(true).help("YAML file with the settings");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("check the settings and exit");
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return e instanceof HelpScreenException ? EXIT_OK : EXIT_USAGE;
        }
        return start(options);
    }

    private static int start(Namespace options) {
        String file = options.getString("settings");
        DaemonSettings.Parsed parsed;
        try {
            String text = Files.readString(Path.of(file));
            if (HostedMain.isHosted(text)) {
                return HostedMain.run(file, text, options.getBoolean("check"));
            }
            parsed = DaemonSettings.parse(file, text);
        } catch (IOException e) {
            System.err.println("cannot read " + file + ": " + e.getMessage());
            return EXIT_SETTINGS;
        }
        List<Problem> problems = parsed.problems();
        if (!problems.isEmpty()) {
            problems.forEach(System.err::println);
            return EXIT_SETTINGS;
        }
        if (options.getBoolean("check")) {
            System.out.println(file + ": valid");
            return EXIT_OK;
        }
        return runNode(parsed.settings());
    }

    private static int runNode(DaemonSettings settings) {
        try {
            Node node = startNode(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(node), "drain"));
            new CountDownLatch(1).await();
            return EXIT_OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_OK;
        } catch (IOException e) {
            Logger.error("start failed: {}", e.getMessage());
            return EXIT_START;
        }
    }

    private static Node startNode(DaemonSettings settings) throws IOException {
        if (settings.isEntry()) {
            EntryNode entry = EntryNode.start(settings);
            logStarted(settings, entry.httpPort(), entry.linkPort());
            return entry::drainAndClose;
        }
        AgentNode agent = AgentNode.start(settings);
        logStarted(settings, agent.httpPort(), agent.linkPort());
        return agent::drainAndClose;
    }

    private static void logStarted(DaemonSettings settings, int httpPort, int linkPort) {
        Logger.info(
                "vm={} role={} http-port={} link-port={} started",
                settings.vm(),
                settings.role(),
                httpPort,
                linkPort);
    }

    private static void drain(Node node) {
        try {
            boolean finished = node.drainAndClose();
            Logger.info("drained finished={}", finished);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
