package org.ebonyrun.daemon.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the values of a step in the shared store as JSON. Stateless and thread safe.
 * Decoders throw {@link IllegalArgumentException} if a value is malformed.
 */
final class StepCodec {
    private StepCodec() {}

    static byte[] manifest(StepManifest manifest) {
        ObjectNode node = JsonTrees.object();
        node.put("host", manifest.host());
        node.put("prefix", manifest.prefix());
        node.put("model", manifest.model());
        node.put("number", manifest.number());
        node.put("min_version", manifest.minVersion());
        node.put("samples", manifest.samples());
        if (manifest.submissionBytes() > 0) {
            node.put("bytes", manifest.submissionBytes());
        }
        if (manifest.workspace() != null) {
            node.put("workspace", manifest.workspace().value());
        }
        node.put("accepted_at", manifest.acceptedAt());
        return JsonTrees.write(node);
    }

    static StepManifest manifest(byte[] value) {
        JsonNode node = JsonTrees.read(value);
        return new StepManifest(
                node.path("host").asText(),
                node.path("prefix").asText(),
                node.path("model").asText(),
                node.path("number").asInt(),
                node.path("min_version").asInt(),
                node.path("samples").asInt(),
                node.path("bytes").asInt(),
                node.has("workspace") ? WorkspaceName.of(node.path("workspace").asText()) : null,
                node.path("accepted_at").asLong());
    }

    static byte[] results(List<SampleResult> results) {
        ObjectNode root = JsonTrees.object();
        ArrayNode array = root.putArray("results");
        for (SampleResult result : results) {
            ObjectNode node = array.addObject();
            node.put("id", result.id());
            node.put("done", result.done());
            node.put("text", result.text());
            node.put("score", result.score());
            ArrayNode versions = node.putArray("versions");
            result.versions().forEach(versions::add);
        }
        return JsonTrees.write(root);
    }

    static List<SampleResult> results(byte[] value) {
        List<SampleResult> results = new ArrayList<>();
        for (JsonNode node : JsonTrees.read(value).path("results")) {
            results.add(
                    new SampleResult(
                            node.path("id").asText(),
                            node.path("done").asBoolean(),
                            node.path("text").asText(),
                            integers(node.path("versions")),
                            node.path("score").asText()));
        }
        return results;
    }

    static byte[] checkpoint(List<SampleCheckpoint> texts) {
        ObjectNode root = JsonTrees.object();
        ArrayNode array = root.putArray("texts");
        for (SampleCheckpoint text : texts) {
            ObjectNode node = array.addObject();
            node.put("id", text.id());
            node.put("complete", text.complete());
            StreamOrigin origin = text.origin();
            if (origin != null) {
                node.put("service", origin.service().toString());
                node.put("software", origin.software());
            }
            ArrayNode events = node.putArray("events");
            text.events().forEach(events::add);
            ArrayNode versions = node.putArray("versions");
            text.versions().forEach(versions::add);
        }
        return JsonTrees.write(root);
    }

    static List<SampleCheckpoint> checkpoint(byte[] value) {
        List<SampleCheckpoint> texts = new ArrayList<>();
        for (JsonNode node : JsonTrees.read(value).path("texts")) {
            List<String> events = new ArrayList<>();
            node.path("events").forEach(event -> events.add(event.asText()));
            texts.add(
                    new SampleCheckpoint(
                            node.path("id").asText(),
                            events,
                            integers(node.path("versions")),
                            origin(node),
                            node.path("complete").asBoolean()));
        }
        return texts;
    }

    private static @Nullable StreamOrigin origin(JsonNode text) {
        return text.has("software")
                ? new StreamOrigin(
                        ServiceName.of(text.path("service").asText()),
                        text.path("software").asText())
                : null;
    }

    private static List<Integer> integers(JsonNode array) {
        List<Integer> numbers = new ArrayList<>();
        array.forEach(node -> numbers.add(node.asInt()));
        return numbers;
    }
}
