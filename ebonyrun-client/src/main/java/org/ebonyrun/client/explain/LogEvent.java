package org.ebonyrun.client.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ebonyrun.base.json.JsonTrees;

/**
 * One line of an entry's log.
 *
 * @param atMillis when it was written, in milliseconds since the epoch by the process's clock
 * @param process the word before the line's JSON, by which collected logs name their process; empty
 *     if there is none
 * @param fields the line's fields
 */
public record LogEvent(long atMillis, String process, JsonNode fields) {
    /** Reads a line; empty if it holds no event. */
    public static Optional<LogEvent> parse(String line) {
        int begin = line.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        String before = line.substring(0, begin).strip();
        String process = before.substring(before.lastIndexOf(' ') + 1);
        try {
            JsonNode fields =
                    JsonTrees.read(line.substring(begin).getBytes(StandardCharsets.UTF_8));
            boolean event = fields.path("at").isNumber() && fields.path("event").isTextual();
            return event
                    ? Optional.of(new LogEvent(fields.path("at").asLong(), process, fields))
                    : Optional.empty();
        } catch (IllegalArgumentException ignored) {
            // Collected logs hold lines of other programs too.
            return Optional.empty();
        }
    }

    /** Returns the event's name. */
    public String name() {
        return getText("event");
    }

    /** Returns a field as text; empty if it is missing. */
    public String getText(String field) {
        return fields.path(field).asText();
    }

    /** Returns a field as a whole number; zero if it is missing. */
    public int getInt(String field) {
        return fields.path(field).asInt();
    }
}
