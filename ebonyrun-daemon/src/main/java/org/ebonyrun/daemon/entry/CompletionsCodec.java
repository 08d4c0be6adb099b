package org.ebonyrun.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.rollout.PromptGroup;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.daemon.store.Json;

/** Reads and writes the JSON of the completions API. Stateless and thread safe. */
final class CompletionsCodec {
    private CompletionsCodec() {}

    /** Returns the request body for one sample of a group. */
    static byte[] encodeSampleRequest(PromptGroup group) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("prompt", group.prompt());
        body.put("max_tokens", group.maxTokens());
        body.put("stream", true);
        body.put("priority", "rollout");
        return Json.write(body);
    }

    /**
     * A caller's request in the form that the engine receives, which is always streaming.
     *
     * @param body the body to send to the engine
     * @param streaming whether the caller requested a streaming response
     */
    record EngineRequest(byte[] body, boolean streaming) {}

    /**
     * Converts a caller's request for the engine.
     *
     * @throws IllegalArgumentException if it is not a JSON object with a prompt
     */
    static EngineRequest toEngineRequest(byte[] request) {
        JsonNode tree = Json.tree(request);
        if (!(tree instanceof ObjectNode body)) {
            throw new IllegalArgumentException("the body must be a JSON object");
        }
        if (!body.path("prompt").isTextual()) {
            throw new IllegalArgumentException("prompt must be a string");
        }
        JsonNode max = body.path("max_tokens");
        if (!max.isMissingNode() && (!max.isInt() || max.asInt() <= 0)) {
            throw new IllegalArgumentException("max_tokens must be a positive integer");
        }
        boolean streaming = body.path("stream").asBoolean(false);
        body.put("stream", true);
        body.put("priority", "call");
        return new EngineRequest(Json.write(body), streaming);
    }

    /** Returns the response body of a call that is not streaming. */
    static byte[] encodeResponse(Answer answer) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("object", "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", new String(answer.body(), StandardCharsets.UTF_8));
        choice.put("finish_reason", "stop");
        addUsageAndVersions(body, answer.tokens(), answer.versions());
        return Json.write(body);
    }

    /** Returns the server-sent event for one piece of a streaming response. */
    static String encodePieceEvent(byte[] data) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("object", "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", new String(data, StandardCharsets.UTF_8));
        return formatEvent(body);
    }

    /** Returns the server-sent events that end a streaming response. */
    static String encodeEndEvents(Answer answer) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("object", "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", "");
        choice.put("finish_reason", "stop");
        addUsageAndVersions(body, answer.tokens(), answer.versions());
        return formatEvent(body) + "data: [DONE]\n\n";
    }

    private static void addUsageAndVersions(ObjectNode body, int tokens, WeightVersions versions) {
        body.putObject("usage").put("completion_tokens", tokens);
        versions.values().forEach(body.putArray("weight_versions")::add);
    }

    private static String formatEvent(ObjectNode body) {
        return "data: " + new String(Json.write(body), StandardCharsets.UTF_8) + "\n\n";
    }
}
