package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.core.scaling.ServiceLoad;

/**
 * Converts the loads that an entry sees to the JSON that is kept in the shared store. Stateless,
 * thread safe.
 */
final class LoadCodec {
    private static final double ROUNDING = 1_000;

    private LoadCodec() {}

    static byte[] encode(Map<ServiceName, ServiceLoad> loads) {
        ObjectNode json = JsonTrees.object();
        loads.forEach(
                (service, load) ->
                        json.putObject(service.value())
                                .put("calls", round(load.calls()))
                                .put("samples", round(load.samples()))
                                .put("sample_s", round(load.secondsPerSample())));
        return JsonTrees.write(json);
    }

    private static double round(double value) {
        return Math.round(value * ROUNDING) / ROUNDING;
    }

    /**
     * Decodes loads.
     *
     * @throws IllegalArgumentException if they are malformed
     */
    static Map<ServiceName, ServiceLoad> decode(byte[] value) {
        JsonNode json = JsonTrees.read(value);
        checkArgument(json.isObject(), "not a JSON object");
        Map<ServiceName, ServiceLoad> loads = new HashMap<>();
        for (Iterator<Map.Entry<String, JsonNode>> each = json.fields(); each.hasNext(); ) {
            Map.Entry<String, JsonNode> field = each.next();
            JsonNode load = field.getValue();
            loads.put(
                    ServiceName.of(field.getKey()),
                    new ServiceLoad(
                            number(load, "calls"),
                            number(load, "samples"),
                            number(load, "sample_s")));
        }
        return loads;
    }

    private static double number(JsonNode load, String field) {
        JsonNode value = load.path(field);
        checkArgument(value.isNumber(), "field '%s' is not a number", field);
        return value.doubleValue();
    }
}
