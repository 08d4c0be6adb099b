package org.ebonyrun.daemon.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.tinylog.Logger;

/** HTTP handlers for operators that every process has. Stateless and thread safe. */
public final class AdminHandlers {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private AdminHandlers() {}

    /** Returns the handlers of a process by path. */
    public static Map<String, HttpHandler> of(ManagedNode source) {
        Map<String, HttpHandler> handlers = new LinkedHashMap<>();
        handlers.put("/admin/dump", asyncHandler((request, out) -> dump(source, out)));
        handlers.put("/admin/drain", asyncHandler((request, out) -> drain(source, request, out)));
        handlers.put("/admin/log-level", asyncHandler(AdminHandlers::logLevel));
        handlers.put("/ready", asyncHandler((request, out) -> ready(source, out)));
        handlers.put(
                "/metrics",
                asyncHandler((request, out) -> out.sendWhole(200, TEXT, source.metrics())));
        return handlers;
    }

    /** Answers one request. Implementations must not block. */
    @FunctionalInterface
    public interface AsyncRequestHandler {
        /** Answers the request, now or later. */
        void handle(Request request, Responder out);
    }

    /** Returns a handler that runs an action with a suspended response. */
    public static HttpHandler asyncHandler(AsyncRequestHandler action) {
        return new HttpHandler() {
            @Override
            public void service(Request request, Response response) {
                Responder out = Responder.suspend(response);
                try {
                    action.handle(request, out);
                } catch (RuntimeException e) {
                    Logger.error(e, "path={} failed", request.getRequestURI());
                    out.sendWhole(500, JSON, Json.write(Map.of("error", "internal")));
                }
            }
        };
    }

    private static void dump(ManagedNode source, Responder out) {
        source.dump()
                .whenComplete(
                        (state, error) -> {
                            if (error == null) {
                                out.sendWhole(200, JSON, Json.write(state));
                            } else {
                                out.sendWhole(503, JSON, Json.write(Map.of("error", "busy")));
                            }
                        });
    }

    private static void drain(ManagedNode source, Request request, Responder out) {
        if (!request.getMethod().getMethodString().equals("POST")) {
            out.sendWhole(405, JSON, Json.write(Map.of("error", "use POST")));
            return;
        }
        source.drain();
        out.sendWhole(202, JSON, Json.write(Map.of("draining", true)));
    }

    private static void logLevel(Request request, Responder out) {
        String level = request.getParameter("level");
        boolean post = request.getMethod().getMethodString().equals("POST");
        if (!post || level == null) {
            out.sendWhole(400, JSON, Json.write(Map.of("error", "POST with ?level=debug")));
            return;
        }
        try {
            LevelWriter.setLevel(level);
            out.sendWhole(200, JSON, Json.write(Map.of("level", level)));
        } catch (IllegalArgumentException e) {
            String error = "no level '" + level + "': trace, debug, info, warn, error, off";
            out.sendWhole(400, JSON, Json.write(Map.of("error", error)));
        }
    }

    private static void ready(ManagedNode source, Responder out) {
        boolean ready = source.isReady();
        out.sendWhole(ready ? 200 : 503, JSON, Json.write(Map.of("ready", ready)));
    }
}
