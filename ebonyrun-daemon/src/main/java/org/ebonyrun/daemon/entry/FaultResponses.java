package org.ebonyrun.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.Responder;

/** Writes faults as HTTP responses. Stateless and thread safe. */
final class FaultResponses {
    static final String JSON_CONTENT_TYPE = "application/json";

    private static final long MILLIS_PER_SECOND = 1_000;

    private FaultResponses() {}

    /** Returns the response body of a fault. */
    static byte[] toJson(Fault fault) {
        ObjectNode error = Json.mapper().createObjectNode();
        error.put("code", fault.code().wireName());
        error.put("outcome", fault.outcome().wireName());
        error.put("step", fault.step());
        error.put("peer", fault.peer());
        error.put("detail", fault.detail());
        error.put("retry_after_ms", fault.retryAfterMillis());
        ObjectNode body = Json.mapper().createObjectNode();
        body.set("error", error);
        return Json.write(body);
    }

    /** Responds to a request with a fault. */
    static void send(Responder out, Fault fault) {
        if (fault.retryAfterMillis() > 0) {
            long seconds = Math.max(1, fault.retryAfterMillis() / MILLIS_PER_SECOND);
            out.setHeader("Retry-After", Long.toString(seconds));
        }
        out.sendComplete(fault.code().httpStatus(), JSON_CONTENT_TYPE, toJson(fault));
    }
}
