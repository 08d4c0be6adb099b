package org.ebonyrun.client.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;

/** One process that a command talks to. Not thread safe; used by one command. */
final class RemoteProcess implements AutoCloseable {
    private static final String DEFAULT_ADDRESS = "http://127.0.0.1:8080";
    private static final long TIMEOUT_MILLIS = 40_000;

    private final AsyncHttpClient mCaller;
    private final URI mAddress;

    private RemoteProcess(AsyncHttpClient caller, URI address) {
        mCaller = caller;
        mAddress = address;
    }

    /** Adds the options that name the process and the form of the output. */
    static void addOptions(Subparser parser) {
        parser.addArgument("--at")
                .setDefault(DEFAULT_ADDRESS)
                .help("HTTP address of the process; default " + DEFAULT_ADDRESS);
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    }

    /** Opens the process that the options name. */
    static RemoteProcess open(Namespace options) throws IOException {
        return new RemoteProcess(AsyncHttpClient.start(), URI.create(options.getString("at")));
    }

    /** Sends a request and waits for the whole answer. */
    Result<HttpResponse> send(String method, String path, byte[] body) {
        return send(method, path, Map.of("Content-Type", "application/json"), body);
    }

    /** Sends a request with headers and waits for the whole answer. */
    Result<HttpResponse> send(
            String method, String path, Map<String, String> headers, byte[] body) {
        HttpRequest call =
                HttpRequest.to(method, URI.create(mAddress + path), headers, body, TIMEOUT_MILLIS);
        return mCaller.request(call, "client." + method).join();
    }

    @Override
    public void close() {
        mCaller.close();
    }

    /** Prints an answer as it came, and returns the exit status for it. */
    static int printResponse(Result<HttpResponse> result, PrintStream out) {
        return result.fold(
                reply -> {
                    (reply.isSuccess() ? out : System.err).println(reply.text());
                    return exitStatus(reply);
                },
                RemoteProcess::printFault);
    }

    /** Prints a fault of the connection and returns the exit status for it. */
    static int printFault(Fault fault) {
        System.err.println(
                "ebonyrun: "
                        + fault.outcome().wireName()
                        + ": "
                        + fault.peer()
                        + ": "
                        + fault.detail());
        return fault.outcome() == Outcome.UNKNOWN ? ExitStatus.UNKNOWN : ExitStatus.FAILED;
    }

    /** Returns the exit status for an answer. */
    static int exitStatus(HttpResponse reply) {
        if (reply.isSuccess()) {
            return ExitStatus.OK;
        }
        return outcome(reply).equals(Outcome.UNKNOWN.wireName())
                ? ExitStatus.UNKNOWN
                : ExitStatus.FAILED;
    }

    private static String outcome(HttpResponse reply) {
        try {
            return Json.tree(reply.body()).path("error").path("outcome").asText();
        } catch (IllegalArgumentException e) {
            return "";
        }
    }
}
