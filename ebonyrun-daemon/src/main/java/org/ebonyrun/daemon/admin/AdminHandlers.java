package org.ebonyrun.daemon.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.tinylog.Logger;

/** The HTTP handlers for operators that all processes have. Stateless and thread safe. */
public final class AdminHandlers {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private AdminHandlers() {}

    /** Returns the handlers of a process, keyed by path. */
    public static Map<String, HttpHandler> of(ManagedNode node) {
        Map<String, HttpHandler> handlers = new LinkedHashMap<>();
        handlers.put("/admin/dump", asyncHandler((request, out) -> dump(node, out)));
        handlers.put("/admin/drain", asyncHandler((request, out) -> drain(node, request, out)));
        handlers.put("/admin/log-level", asyncHandler(AdminHandlers::logLevel));
        handlers.put("/ready", asyncHandler((request, out) -> ready(node, out)));
        handlers.put(
                "/metrics",
                asyncHandler((request, out) -> out.sendComplete(200, TEXT, node.metrics())));
        return handlers;
    }

    /** Handles requests. Implementations must not block. */
    @FunctionalInterface
    public interface AsyncRequestHandler {
        /** Handles a request; sends the response now or later. */
        void handle(Request request, Responder out);
    }

    /** Returns a Grizzly handler that suspends the response and passes the request on. */
    public static HttpHandler asyncHandler(AsyncRequestHandler handler) {
        return new HttpHandler() {
            @Override
            public void service(Request request, Response response) {
                Responder out = Responder.suspend(response);
                try {
                    handler.handle(request, out);
                } catch (RuntimeException e) {
                    Logger.error(e, "path={} failed", request.getRequestURI());
                    out.sendComplete(500, JSON, Json.write(Map.of("error", "internal")));
                }
            }
        };
    }

    private static void dump(ManagedNode node, Responder out) {
        node.dump()
                .whenComplete(
                        (state, error) -> {
                            if (error == null) {
                                out.sendComplete(200, JSON, Json.write(state));
                            } else {
                                out.sendComplete(503, JSON, Json.write(Map.of("error", "busy")));
                            }
                        });
    }

    private static void drain(ManagedNode node, Request request, Responder out) {
        if (!request.getMethod().getMethodString().equals("POST")) {
            out.sendComplete(405, JSON, Json.write(Map.of("error", "use POST")));
            return;
        }
        node.drain();
        out.sendComplete(202, JSON, Json.write(Map.of("draining", true)));
    }

    private static void logLevel(Request request, Responder out) {
        String level = request.getParameter("level");
        boolean post = request.getMethod().getMethodString().equals("POST");
        if (!post || level == null) {
            out.sendComplete(400, JSON, Json.write(Map.of("error", "POST with ?level=debug")));
            return;
        }
        try {
            LevelWriter.setLevel(level);
            out.sendComplete(200, JSON, Json.write(Map.of("level", level)));
        } catch (IllegalArgumentException e) {
            String error = "no level '" + level + "': trace, debug, info, warn, error, off";
            out.sendComplete(400, JSON, Json.write(Map.of("error", error)));
        }
    }

    private static void ready(ManagedNode node, Responder out) {
        boolean ready = node.isReady();
        out.sendComplete(ready ? 200 : 503, JSON, Json.write(Map.of("ready", ready)));
    }
}
