package org.ebonyrun.client.command;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.daemon.store.Json;

/** Submits, pulls or cancels a step of a trainer. Stateless. */
public final class StepCommand implements Command {
    private static final int DEFAULT_MAX_SAMPLES = 64;
    private static final int DEFAULT_WAIT_MILLIS = 5_000;

    /** Creates the command. */
    public StepCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("step").help("submit, pull or cancel a step");
        Subparsers actions = parser.addSubparsers().title("actions").metavar("ACTION");
        Subparser submit = action(actions, "submit", "submit a step");
        submit.epilog("example: ebonyrun step submit pad-model 7 --body @step.json");
        submit.addArgument("--body").required(true).help("JSON body, or @FILE");
        Subparser pull = action(actions, "pull", "pull finished samples");
        pull.epilog("example: ebonyrun step pull pad-model 7 --version 4 --cursor ''");
        pull.addArgument("--version").type(Long.class).required(true).help("the trainer's version");
        pull.addArgument("--cursor").setDefault("").help("cursor from the previous response");
        pull.addArgument("--max").type(Integer.class).setDefault(DEFAULT_MAX_SAMPLES);
        pull.addArgument("--wait-ms").type(Integer.class).setDefault(DEFAULT_WAIT_MILLIS);
        Subparser cancel = action(actions, "cancel", "cancel a step");
        cancel.epilog("example: ebonyrun step cancel pad-model 7");
    }

    @Override
    public int run(Namespace options) throws IOException {
        String path =
                "/v1/trainers/"
                        + options.getString("trainer")
                        + "/steps/"
                        + options.getLong("step");
        try (RemoteProcess remote = RemoteProcess.open(options)) {
            return switch (options.getString("action")) {
                case "submit" ->
                        RemoteProcess.printResponse(
                                remote.send(
                                        "PUT",
                                        path,
                                        CallCommand.readBody(options.getString("body"))),
                                System.out);
                case "pull" ->
                        RemoteProcess.printResponse(
                                remote.send("POST", path + "/pull", pullBody(options)), System.out);
                default ->
                        RemoteProcess.printResponse(
                                remote.send("DELETE", path, new byte[0]), System.out);
            };
        }
    }

    private Subparser action(Subparsers actions, String name, String help) {
        Subparser parser = actions.addParser(name).help(help);
        parser.setDefault("command", this);
        parser.setDefault("action", name);
        parser.addArgument("trainer").help("name of the trainer");
        parser.addArgument("step").type(Long.class).help("number of the step");
        RemoteProcess.addOptions(parser);
        return parser;
    }

    private static byte[] pullBody(Namespace options) {
        return Json.write(
                Json.mapper()
                        .createObjectNode()
                        .put("cursor", options.getString("cursor"))
                        .put("version", options.getLong("version"))
                        .put("max", options.getInt("max"))
                        .put("wait_ms", options.getInt("wait_ms")));
    }
}
