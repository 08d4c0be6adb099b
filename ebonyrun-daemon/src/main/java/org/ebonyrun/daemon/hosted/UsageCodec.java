package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedMap;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.core.usage.UsageLedgerState;
import org.ebonyrun.core.usage.WindowCounts;

/**
 * Converts counts of usage to the JSON that is kept in the shared store. Stateless, thread safe.
 */
final class UsageCodec {
    private static final String NEXT = "next";
    private static final String UNANSWERED = "unanswered";

    private UsageCodec() {}

    static byte[] encode(WindowCounts counts) {
        return JsonTrees.write(windows(JsonTrees.object(), counts.windows()));
    }

    static byte[] encode(UsageLedgerState state) {
        ObjectNode json = JsonTrees.object().put(NEXT, state.nextWindow());
        windows(json.putObject(UNANSWERED), state.unanswered());
        return JsonTrees.write(json);
    }

    private static ObjectNode windows(
            ObjectNode json, SortedMap<Long, ? extends SortedMap<WorkspaceName, Long>> windows) {
        windows.forEach(
                (window, counts) -> {
                    ObjectNode object = json.putObject(Long.toString(window));
                    counts.forEach((workspace, count) -> object.put(workspace.value(), count));
                });
        return json;
    }

    /**
     * Decodes the counts of an entry.
     *
     * @throws IllegalArgumentException if they are malformed
     */
    static SortedMap<Long, SortedMap<WorkspaceName, Long>> decodeCounts(byte[] value) {
        return decodeWindows(JsonTrees.read(value));
    }

    /**
     * Decodes what holders have fixed.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    static UsageLedgerState decodeState(byte[] value) {
        JsonNode json = JsonTrees.read(value);
        checkArgument(json.path(NEXT).isIntegralNumber(), "no number: '%s'", json.path(NEXT));
        return new UsageLedgerState(json.path(NEXT).asLong(), decodeWindows(json.path(UNANSWERED)));
    }

    private static SortedMap<Long, SortedMap<WorkspaceName, Long>> decodeWindows(JsonNode json) {
        TreeMap<Long, SortedMap<WorkspaceName, Long>> windows = new TreeMap<>();
        json.properties()
                .forEach(
                        window -> {
                            ImmutableSortedMap.Builder<WorkspaceName, Long> counts =
                                    ImmutableSortedMap.naturalOrder();
                            window.getValue()
                                    .properties()
                                    .forEach(
                                            count ->
                                                    counts.put(
                                                            WorkspaceName.of(count.getKey()),
                                                            count.getValue().asLong()));
                            windows.put(Long.parseLong(window.getKey()), counts.build());
                        });
        return windows;
    }
}
