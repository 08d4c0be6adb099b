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

/** HTTP client for the process that a command addresses. Not thread safe; used by one command. */
final class RemoteProcess implements AutoCloseable {
    private static final String DEFAULT_ADDRESS = "http://127.0.0.1:8080";
    private static final long TIMEOUT_MILLIS = 40_000;

    private final AsyncHttpClient mHttpClient;
    private final URI mAddress;

    private RemoteProcess(AsyncHttpClient httpClient, URI address) {
        mHttpClient = httpClient;
        mAddress = address;
    }

    /** Adds the options for the address of the process and the format of the output. */
    static void addOptions(Subparser parser) {
        parser.addArgument("--at")
                .setDefault(DEFAULT_ADDRESS)
                .help("HTTP address of the process; default " + DEFAULT_ADDRESS);
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    }

    /** Creates a client for the address in the options. */
    static RemoteProcess open(Namespace options) throws IOException {
        return new RemoteProcess(AsyncHttpClient.start(), URI.create(options.getString("at")));
    }

    /** Sends a JSON request and waits for the complete response. */
    Result<HttpResponse> send(String method, String path, byte[] body) {
        return send(method, path, Map.of("Content-Type", "application/json"), body);
    }

    /** Sends a request with the given headers and waits for the complete response. */
    Result<HttpResponse> send(
            String method, String path, Map<String, String> headers, byte[] body) {
        HttpRequest request =
                HttpRequest.to(method, URI.create(mAddress + path), headers, body, TIMEOUT_MILLIS);
        return mHttpClient.request(request, "client." + method).join();
    }

    @Override
    public void close() {
        mHttpClient.close();
    }

    /**
     * Prints the body of a response unchanged, or the fault, and returns the corresponding exit
     * status.
     */
    static int printResponse(Result<HttpResponse> result, PrintStream out) {
        return result.fold(
                response -> {
                    (response.isSuccess() ? out : System.err).println(response.text());
                    return exitStatus(response);
                },
                RemoteProcess::printFault);
    }

    /** Prints a fault and returns the corresponding exit status. */
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

    /** Returns the exit status that corresponds to a response. */
    static int exitStatus(HttpResponse response) {
        if (response.isSuccess()) {
            return ExitStatus.OK;
        }
        return outcome(response).equals(Outcome.UNKNOWN.wireName())
                ? ExitStatus.UNKNOWN
                : ExitStatus.FAILED;
    }

    private static String outcome(HttpResponse response) {
        try {
            return Json.tree(response.body()).path("error").path("outcome").asText();
        } catch (IllegalArgumentException e) {
            return "";
        }
    }
}
