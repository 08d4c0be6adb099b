package org.ebonyrun.client.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ebonyrun.base.json.JsonTrees;

/**
 * One event of an entry's log: a line with a JSON object.
 *
 * @param atMillis time at which the line was written, in milliseconds since the epoch by the clock
 *     of the writing process
 * @param process name of the writing process: the last word before the JSON object, where log
 *     collectors put it; empty if there is none
 * @param fields the JSON object
 */
public record LogEvent(long atMillis, String process, JsonNode fields) {
    /** Parses a line; returns empty if the line contains no event. */
    public static Optional<LogEvent> parse(String line) {
        int jsonStart = line.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        String prefix = line.substring(0, jsonStart).strip();
        String process = prefix.substring(prefix.lastIndexOf(' ') + 1);
        try {
            JsonNode fields =
                    JsonTrees.read(line.substring(jsonStart).getBytes(StandardCharsets.UTF_8));
            boolean isEvent = fields.path("at").isNumber() && fields.path("event").isTextual();
            return isEvent
                    ? Optional.of(new LogEvent(fields.path("at").asLong(), process, fields))
                    : Optional.empty();
        } catch (IllegalArgumentException ignored) {
            // Collected logs also contain lines of other programs.
            return Optional.empty();
        }
    }

    /** Returns the event's name. */
    public String name() {
        return getText("event");
    }

    /** Returns the value of a field as text; empty if the field is missing. */
    public String getText(String field) {
        return fields.path(field).asText();
    }

    /** Returns the value of a field as an integer; zero if the field is missing. */
    public int getInt(String field) {
        return fields.path(field).asInt();
    }
}
