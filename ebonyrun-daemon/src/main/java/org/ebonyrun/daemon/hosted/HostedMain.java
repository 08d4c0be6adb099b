package org.ebonyrun.daemon.hosted;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.ebonyrun.base.eventloop.FatalErrors;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.core.settings.Problem;
import org.ebonyrun.core.settings.SettingsNode;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Starts the process roles of a deployment on a platform that provides the endpoints. Stateless.
 *
 * <p>Can be started directly as the main class: it loads fewer classes than the general main class,
 * so a restarted process is ready sooner.
 */
public final class HostedMain {
    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_START = 4;

    private HostedMain() {}

    /**
     * Runs a process.
     *
     * @param args the settings file, or {@code reserve} for a process that only waits
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1) {
            System.err.println("usage: HostedMain SETTINGS | reserve");
            System.exit(EXIT_USAGE);
        }
        FatalErrors.exitOnUncaughtExceptions();
        if (args[0].equals(HostedSettings.ROLE_RESERVE)) {
            // Without settings there is nothing to reload.
            Signal.handle(new Signal("HUP"), SignalHandler.SIG_IGN);
            awaitTermination();
            return;
        }
        int status = run(args[0], Files.readString(Path.of(args[0])), false);
        if (status != EXIT_OK) {
            System.exit(status);
        }
    }

    /** Returns whether the settings name a role of this package. */
    public static boolean isHosted(String text) {
        SettingsNode root = SettingsNode.parse("", text, new ArrayList<>());
        String role = root.get("role").text("");
        return role.equals(HostedSettings.ROLE) || role.equals(HostedSettings.ROLE_RESERVE);
    }

    /** Runs a process until it is signalled to stop; returns its exit status. */
    public static int run(String file, String text, boolean checkOnly) {
        HostedSettings.Parsed parsed = HostedSettings.parse(file, text);
        List<Problem> problems = parsed.problems();
        if (!problems.isEmpty()) {
            problems.forEach(System.err::println);
            return EXIT_SETTINGS;
        }
        if (checkOnly) {
            System.out.println(file + ": valid");
            return EXIT_OK;
        }
        EventLog log = EventLog.start(new FileOutputStream(FileDescriptor.out));
        LibraryLogHandler.install("org.glassfish.grizzly", log);
        try {
            HostedEntry entry = HostedEntry.start(parsed.settings(), log);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(entry), "drain"));
            Signal.handle(new Signal("HUP"), signal -> reload(file, entry, log));
            awaitTermination();
            return EXIT_OK;
        } catch (IOException e) {
            log.write(LogLine.of("start.failed").with("why", e.getMessage()));
            log.close();
            return EXIT_START;
        }
    }

    /** Reloads the settings file; settings with problems are rejected as a whole. */
    private static void reload(String file, HostedEntry entry, EventLog log) {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            log.write(LogLine.of("reload.failed").with("why", e.getMessage()));
            return;
        }
        HostedSettings.Parsed parsed = HostedSettings.parse(file, text);
        if (parsed.problems().isEmpty()) {
            entry.reload(parsed.settings());
        } else {
            log.write(LogLine.of("reload.failed").with("why", parsed.problems()));
        }
    }

    private static void drain(HostedEntry entry) {
        try {
            entry.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
