package org.ebonyrun.daemon.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.Set;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.core.call.CrashRecord;

/** Converts crash records to the JSON that is kept in the shared store. Stateless, thread safe. */
final class CrashCodec {
    private CrashCodec() {}

    static byte[] encode(CrashRecord record) {
        ObjectNode json = JsonTrees.object().put("at", record.atMillis());
        json.put("trial_until", record.trialUntilMillis());
        ArrayNode endpoints = json.putArray("endpoints");
        record.endpoints().forEach(endpoints::add);
        return JsonTrees.write(json);
    }

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    static CrashRecord decode(byte[] value) {
        JsonNode json = JsonTrees.read(value);
        Set<String> endpoints = new LinkedHashSet<>();
        json.path("endpoints").forEach(endpoint -> endpoints.add(endpoint.asText()));
        long trialUntil = json.path("trial_until").asLong();
        return new CrashRecord(endpoints, json.path("at").asLong(), trialUntil);
    }
}
