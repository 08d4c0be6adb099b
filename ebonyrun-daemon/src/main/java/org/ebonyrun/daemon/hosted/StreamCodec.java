package org.ebonyrun.daemon.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.core.stream.SoftwareVersions;
import org.ebonyrun.core.stream.StreamId;
import org.ebonyrun.core.stream.StreamOrigin;

/**
 * Converts announced software versions and records of streams to the JSON that is kept in the
 * shared store. Stateless, thread safe. Decoders throw {@link IllegalArgumentException} if a value
 * is malformed.
 */
final class StreamCodec {
    private StreamCodec() {}

    static byte[] encodeVersions(SoftwareVersions versions) {
        ObjectNode json = JsonTrees.object();
        ArrayNode announced = json.putArray("versions");
        new TreeSet<>(versions.announced()).forEach(announced::add);
        if (!versions.absent().isEmpty()) {
            ArrayNode absent = json.putArray("absent");
            new TreeSet<>(versions.absent()).forEach(absent::add);
        }
        return JsonTrees.write(json);
    }

    static SoftwareVersions decodeVersions(byte[] value) {
        JsonNode json = JsonTrees.read(value);
        if (!json.path("versions").isArray()) {
            throw new IllegalArgumentException("no array of versions");
        }
        Set<String> announced = texts(json.path("versions"));
        Set<String> absent = texts(json.path("absent"));
        absent.retainAll(announced);
        return new SoftwareVersions(announced, absent);
    }

    private static Set<String> texts(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    /** Encodes records, grouped by origin, since few origins have many streams. */
    static byte[] encodeRecords(Map<StreamId, StreamOrigin> records) {
        ObjectNode json = JsonTrees.object();
        ArrayNode origins = json.putArray("origins");
        Map<StreamOrigin, ArrayNode> streams = new LinkedHashMap<>();
        records.forEach(
                (stream, origin) ->
                        streams.computeIfAbsent(origin, key -> addOrigin(origins, key))
                                .add(stream.value()));
        return JsonTrees.write(json);
    }

    private static ArrayNode addOrigin(ArrayNode origins, StreamOrigin origin) {
        ObjectNode node = origins.addObject();
        node.put("service", origin.service().toString());
        node.put("software", origin.software());
        return node.putArray("streams");
    }

    /** Returns the origins that an entry has recorded for a stream. */
    static Set<StreamOrigin> decodeOrigins(byte[] value, StreamId stream) {
        Set<StreamOrigin> found = new HashSet<>();
        for (JsonNode origin : JsonTrees.read(value).path("origins")) {
            for (JsonNode id : origin.path("streams")) {
                if (id.asText().equals(stream.value())) {
                    found.add(
                            new StreamOrigin(
                                    ServiceName.of(origin.path("service").asText()),
                                    origin.path("software").asText()));
                }
            }
        }
        return found;
    }
}
