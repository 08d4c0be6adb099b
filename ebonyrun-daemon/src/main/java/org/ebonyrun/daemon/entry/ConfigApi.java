package org.ebonyrun.daemon.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.core.config.ConfigParser;
import org.ebonyrun.core.settings.Problem;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.daemon.store.StoredConfig;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.Request;

/**
 * HTTP interface to the configuration for operators: {@code GET} and {@code PUT /admin/config},
 * {@code GET /admin/config/{version}}. Thread safe.
 */
final class ConfigApi {
    static final String PREFIX = "/admin/config";

    private static final String FAULT_STEP = "http.config";
    private static final int MAX_BYTES = 512 * 1024;

    private final EntryContext mContext;

    ConfigApi(EntryContext context) {
        mContext = context;
    }

    void handle(Request request, Responder out) {
        String pathSuffix = request.getRequestURI().substring(PREFIX.length());
        String method = request.getMethod().getMethodString();
        if (method.equals("GET") && pathSuffix.isEmpty()) {
            mContext.mConfigStore
                    .read()
                    .thenAccept(
                            result ->
                                    result.fold(
                                            current -> sendConfig(out, current.config()),
                                            fault -> sendFault(out, fault)));
        } else if (method.equals("GET") && pathSuffix.matches("/\\d{1,18}")) {
            sendVersion(Long.parseLong(pathSuffix.substring(1)), out);
        } else if (method.equals("PUT") && pathSuffix.isEmpty()) {
            RequestBodies.read(
                    mContext.mTimer,
                    request,
                    MAX_BYTES,
                    result ->
                            result.fold(
                                    body -> replace(request, body, out),
                                    fault -> sendFault(out, fault)));
        } else {
            sendFault(out, notRunFault(FaultCode.NOT_FOUND, "no such operation"));
        }
    }

    private void sendVersion(long version, Responder out) {
        mContext.mConfigStore
                .readVersion(version)
                .thenAccept(
                        result ->
                                result.fold(
                                        found ->
                                                found.map(config -> sendConfig(out, config))
                                                        .orElseGet(
                                                                () ->
                                                                        sendVersionNotFound(
                                                                                out, version)),
                                        fault -> sendFault(out, fault)));
    }

    private boolean replace(Request request, byte[] body, Responder out) {
        String author = request.getParameter("author");
        String expected = request.getParameter("expect");
        if (author == null || expected == null || !expected.matches("\\d{1,18}")) {
            return sendFault(
                    out, notRunFault(FaultCode.BAD_REQUEST, "author and expect are needed"));
        }
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException e) {
            return sendFault(out, notRunFault(FaultCode.BAD_REQUEST, "the text is not UTF-8"));
        }
        long version = Long.parseLong(expected);
        ConfigParser.Parsed parsed = ConfigParser.parse("config", text, version + 1);
        if (!parsed.isValid()) {
            return sendProblems(out, parsed);
        }
        String requestedNonce = request.getParameter("nonce");
        String nonce =
                requestedNonce != null && !requestedNonce.isEmpty()
                        ? requestedNonce
                        : HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        mContext.mConfigStore
                .replace(version, author, text, nonce)
                .thenAccept(
                        result ->
                                result.fold(
                                        config -> {
                                            adoptAndSend(config, out);
                                            return true;
                                        },
                                        fault -> sendFault(out, fault)));
        return true;
    }

    /**
     * Responds only after this entry has adopted the configuration, so that the next call to it
     * runs under the new version.
     */
    private void adoptAndSend(StoredConfig config, Responder out) {
        mContext.mConfigLoop.post(
                (machine, now) -> {
                    machine.onConfig(config.version(), config.text());
                    sendConfig(out, config);
                });
    }

    private static boolean sendConfig(Responder out, StoredConfig config) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("version", config.version());
        body.put("author", config.author());
        body.put("text", config.text());
        out.sendComplete(200, FaultResponses.JSON_CONTENT_TYPE, Json.write(body));
        return true;
    }

    private static boolean sendFault(Responder out, Fault fault) {
        FaultResponses.send(out, fault);
        return false;
    }

    private static boolean sendVersionNotFound(Responder out, long version) {
        return sendFault(out, notRunFault(FaultCode.NOT_FOUND, "no version " + version));
    }

    private static boolean sendProblems(Responder out, ConfigParser.Parsed parsed) {
        ObjectNode body = Json.mapper().createObjectNode();
        ArrayNode problems = body.putArray("problems");
        for (Problem problem : parsed.problems()) {
            problems.addObject()
                    .put("line", problem.line())
                    .put("path", problem.path())
                    .put("message", problem.message());
        }
        out.sendComplete(422, FaultResponses.JSON_CONTENT_TYPE, Json.write(body));
        return false;
    }

    private static Fault notRunFault(FaultCode code, String detail) {
        return Fault.notRun(code, FAULT_STEP, "", detail);
    }
}
