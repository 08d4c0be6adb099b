package org.ebonyrun.client.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.HttpResponse;

/** Shows classes with their targets, endpoints and steps, as reported by one entry. Stateless. */
public final class StatusCommand implements Command {
    /** Creates the command. */
    public StatusCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("status")
                        .help("show classes, endpoints, steps and weights")
                        .epilog("example: ebonyrun status --at http://10.0.0.4:8080");
        parser.setDefault("command", this);
        RemoteProcess.addOptions(parser);
    }

    @Override
    public int run(Namespace options) throws IOException {
        try (RemoteProcess remote = RemoteProcess.open(options)) {
            Result<HttpResponse> response = remote.send("GET", "/admin/status", new byte[0]);
            boolean success = response.fold(HttpResponse::isSuccess, fault -> false);
            if (!success || options.getBoolean("json")) {
                return RemoteProcess.printResponse(response, System.out);
            }
            print(Json.tree(response.orThrow().body()));
            return ExitStatus.OK;
        }
    }

    private static void print(JsonNode status) {
        System.out.println(
                status.path("vm").asText()
                        + " in "
                        + status.path("failure_domain").asText()
                        + ", configuration version "
                        + status.path("config_version").asLong()
                        + (status.path("draining").asBoolean() ? ", draining" : ""));
        Table classes =
                Table.withHeading("CLASS", "CALLS", "IN TIME", "TARGET", "REFUSED", "SHORTFALL");
        for (JsonNode row : status.path("classes")) {
            classes.addRow(
                    row.path("name").asText(),
                    row.path("calls").asLong(),
                    row.path("in_time").asText(),
                    row.path("target").asText(),
                    row.path("refused").asLong(),
                    row.path("shortfall").asText());
        }
        print(classes);
        Table endpoints =
                Table.withHeading("ENDPOINT", "SERVICE", "USABLE", "RUNNING", "SLOTS", "VERSION");
        for (JsonNode row : status.path("dispatch").path("endpoints")) {
            JsonNode load = row.path("load");
            endpoints.addRow(
                    row.path("vm").asText(),
                    row.path("service").asText(),
                    row.path("usable").asBoolean(),
                    load.path("running").asInt(),
                    load.path("slots").asInt(),
                    load.path("version").asLong());
        }
        print(endpoints);
        Table steps = Table.withHeading("TRAINER", "STEP", "SLOTS", "DELIVERED", "READY", "STALE");
        for (JsonNode row : status.path("steps")) {
            steps.addRow(
                    row.path("trainer").asText(),
                    row.path("step").asLong(),
                    row.path("slots").asInt(),
                    row.path("delivered").asInt(),
                    row.path("ready").asInt(),
                    row.path("stale").asLong());
        }
        print(steps);
    }

    private static void print(Table table) {
        if (table.hasRows()) {
            System.out.println();
            System.out.print(table);
        }
    }
}
