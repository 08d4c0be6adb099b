package org.ebonyrun.client.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.config.ConfigParser;
import org.ebonyrun.core.settings.Problem;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.HttpResponse;

/** Checks, applies and shows the operators' configuration. Stateless. */
public final class ConfigCommand implements Command {
    private static final String CONFIG_PATH = "/admin/config";
    private static final int MAX_ATTEMPTS = 3;
    private static final int DEFAULT_HISTORY = 10;

    /** Creates the command. */
    public ConfigCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("config").help("check, apply and show configuration");
        Subparsers actions = parser.addSubparsers().title("actions").metavar("ACTION");
        Subparser check = action(actions, "check", "check a file without contacting a process");
        check.epilog("example: ebonyrun config check examples/carpatica.yaml");
        check.addArgument("file").help("YAML file");
        Subparser apply = action(actions, "apply", "check a file and apply it everywhere");
        apply.epilog("example: ebonyrun config apply examples/carpatica.yaml --author ana");
        apply.addArgument("file").help("YAML file");
        apply.addArgument("--author").required(true).help("who applies the file");
        apply.addArgument("--expect")
                .type(Long.class)
                .help("version that must be in force; default: the current one");
        RemoteProcess.addOptions(apply);
        Subparser get = action(actions, "get", "show the configuration in force");
        get.epilog("example: ebonyrun config get --at http://10.0.0.4:8080");
        RemoteProcess.addOptions(get);
        Subparser history = action(actions, "history", "list earlier versions");
        history.epilog("example: ebonyrun config history --last 5");
        history.addArgument("--last").type(Integer.class).setDefault(DEFAULT_HISTORY);
        RemoteProcess.addOptions(history);
    }

    @Override
    public int run(Namespace options) throws IOException {
        return switch (options.getString("action")) {
            case "check" -> check(options.getString("file"));
            case "apply" -> apply(options);
            case "get" -> get(options);
            default -> history(options);
        };
    }

    private Subparser action(Subparsers actions, String name, String help) {
        Subparser parser = actions.addParser(name).help(help);
        parser.setDefault("command", this);
        parser.setDefault("action", name);
        return parser;
    }

    private static int check(String file) throws IOException {
        List<Problem> problems =
                ConfigParser.parse(file, Files.readString(Path.of(file)), 1).problems();
        problems.forEach(System.err::println);
        if (problems.isEmpty()) {
            System.out.println(file + ": valid");
        }
        return problems.isEmpty() ? ExitStatus.OK : ExitStatus.INVALID;
    }

    private static int apply(Namespace options) throws IOException {
        String file = options.getString("file");
        if (check(file) != ExitStatus.OK) {
            return ExitStatus.INVALID;
        }
        byte[] text = Files.readAllBytes(Path.of(file));
        String nonce = HexFormat.of().toHexDigits(new SecureRandom().nextLong());
        try (RemoteProcess remote = RemoteProcess.open(options)) {
            Long expect = options.getLong("expect");
            if (expect == null) {
                Result<HttpResponse> current = remote.send("GET", CONFIG_PATH, new byte[0]);
                if (!isSuccess(current)) {
                    return RemoteProcess.printResponse(current, System.out);
                }
                expect = Json.tree(current.orThrow().body()).path("version").asLong();
            }
            return apply(remote, options, expect, text, nonce);
        }
    }

    /**
     * Writes the configuration, and repeats the request while its outcome is unknown, at most
     * {@link #MAX_ATTEMPTS} times in all. All requests carry the same nonce, by which the entry
     * recognizes a repeated change.
     */
    private static int apply(
            RemoteProcess remote, Namespace options, long expect, byte[] text, String nonce) {
        String author = URLEncoder.encode(options.getString("author"), StandardCharsets.UTF_8);
        String path = CONFIG_PATH + "?author=" + author + "&expect=" + expect + "&nonce=" + nonce;
        Result<HttpResponse> response = remote.send("PUT", path, text);
        for (int i = 1; i < MAX_ATTEMPTS && isUnknown(response); i++) {
            response = remote.send("PUT", path, text);
        }
        if (!isSuccess(response) || options.getBoolean("json")) {
            return RemoteProcess.printResponse(response, System.out);
        }
        JsonNode config = Json.tree(response.orThrow().body());
        System.out.println("version " + config.path("version").asLong() + " accepted");
        return ExitStatus.OK;
    }

    private static int get(Namespace options) throws IOException {
        try (RemoteProcess remote = RemoteProcess.open(options)) {
            Result<HttpResponse> response = remote.send("GET", CONFIG_PATH, new byte[0]);
            if (!isSuccess(response) || options.getBoolean("json")) {
                return RemoteProcess.printResponse(response, System.out);
            }
            JsonNode config = Json.tree(response.orThrow().body());
            System.out.println(
                    "# version "
                            + config.path("version").asLong()
                            + " by "
                            + config.path("author").asText());
            System.out.print(config.path("text").asText());
            return ExitStatus.OK;
        }
    }

    private static int history(Namespace options) throws IOException {
        try (RemoteProcess remote = RemoteProcess.open(options)) {
            Result<HttpResponse> response = remote.send("GET", CONFIG_PATH, new byte[0]);
            if (!isSuccess(response)) {
                return RemoteProcess.printResponse(response, System.out);
            }
            long newest = Json.tree(response.orThrow().body()).path("version").asLong();
            long oldest = Math.max(1, newest - options.getInt("last") + 1);
            Table table = Table.withHeading("VERSION", "AUTHOR", "BYTES");
            for (long version = newest; version >= oldest; version--) {
                Result<HttpResponse> stored =
                        remote.send("GET", CONFIG_PATH + "/" + version, new byte[0]);
                if (options.getBoolean("json")) {
                    RemoteProcess.printResponse(stored, System.out);
                } else if (isSuccess(stored)) {
                    JsonNode config = Json.tree(stored.orThrow().body());
                    int length = config.path("text").asText().length();
                    table.addRow(version, config.path("author").asText(), length);
                }
            }
            if (!options.getBoolean("json")) {
                System.out.print(table);
            }
            return ExitStatus.OK;
        }
    }

    private static boolean isSuccess(Result<HttpResponse> result) {
        return result.fold(HttpResponse::isSuccess, fault -> false);
    }

    private static boolean isUnknown(Result<HttpResponse> result) {
        return result.fold(
                response -> RemoteProcess.exitStatus(response) == ExitStatus.UNKNOWN,
                fault -> fault.outcome() == Outcome.UNKNOWN);
    }
}
