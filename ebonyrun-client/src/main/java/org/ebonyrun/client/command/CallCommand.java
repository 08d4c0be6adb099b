package org.ebonyrun.client.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Sends one call and prints the response. Stateless. */
public final class CallCommand implements Command {
    /** Creates the command. */
    public CallCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("call")
                        .help("send a call of a class")
                        .epilog(
                                "example: ebonyrun call slot-lookup --body"
                                        + " '{\"prompt\":\"next slot\",\"max_tokens\":16}'");
        parser.setDefault("command", this);
        parser.addArgument("class").help("class of the call");
        parser.addArgument("--body").required(true).help("JSON body, or @FILE");
        parser.addArgument("--non-idempotent")
                .action(Arguments.storeTrue())
                .help("the call must run at most once");
        parser.addArgument("--key").help("key under which a non-idempotent call runs at most once");
        parser.addArgument("--path").help("path at a plain service; default /");
        RemoteProcess.addOptions(parser);
    }

    @Override
    public int run(Namespace options) throws IOException {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        if (options.getBoolean("non_idempotent")) {
            headers.put("Ebonyrun-Idempotent", "false");
        }
        if (options.getString("key") != null) {
            headers.put("Idempotency-Key", options.getString("key"));
        }
        if (options.getString("path") != null) {
            headers.put("Ebonyrun-Path", options.getString("path"));
        }
        String path = "/v1/calls/" + options.getString("class");
        try (RemoteProcess remote = RemoteProcess.open(options)) {
            return RemoteProcess.printResponse(
                    remote.send("POST", path, headers, readBody(options.getString("body"))),
                    System.out);
        }
    }

    /** Returns {@code text} as UTF-8, or, if it is {@code @FILE}, the content of that file. */
    static byte[] readBody(String text) throws IOException {
        return text.startsWith("@")
                ? Files.readAllBytes(Path.of(text.substring(1)))
                : text.getBytes(StandardCharsets.UTF_8);
    }
}
