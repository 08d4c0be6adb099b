package org.ebonyrun.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.rollout.PromptGroup;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.daemon.store.Json;

/** Reads and writes the JSON of the completions interface. Stateless and thread safe. */
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
     * A caller's request as the engine needs it, which is always streaming.
     *
     * @param body the body to send
     * @param streaming whether the caller asked for a streaming answer
     */
    record EngineRequest(byte[] body, boolean streaming) {}

    /**
     * Reads a caller's request.
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

    /** Returns the whole answer to a call that is not streaming. */
    static byte[] encodeResponse(Answer answer) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("object", "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", new String(answer.body(), StandardCharsets.UTF_8));
        choice.put("finish_reason", "stop");
        addEnd(body, answer.tokens(), answer.versions());
        return Json.write(body);
    }

    /** Returns the event for one piece of a streaming answer. */
    static String encodePieceEvent(byte[] data) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("object", "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", new String(data, StandardCharsets.UTF_8));
        return event(body);
    }

    /** Returns the events that end a streaming answer. */
    static String encodeEndEvents(Answer answer) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("object", "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", "");
        choice.put("finish_reason", "stop");
        addEnd(body, answer.tokens(), answer.versions());
        return event(body) + "data: [DONE]\n\n";
    }

    private static void addEnd(ObjectNode body, int tokens, WeightVersions versions) {
        body.putObject("usage").put("completion_tokens", tokens);
        versions.values().forEach(body.putArray("weight_versions")::add);
    }

    private static String event(ObjectNode body) {
        return "data: " + new String(Json.write(body), StandardCharsets.UTF_8) + "\n\n";
    }
}
