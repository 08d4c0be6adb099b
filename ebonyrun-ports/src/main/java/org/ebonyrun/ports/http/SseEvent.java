package org.ebonyrun.ports.http;

import java.util.Map;

/**
 * One event of a server-sent event stream.
 *
 * @param id the number of the event; -1 if it has none
 * @param data its data, lines separated by line feeds
 * @param fields its other fields
 */
public record SseEvent(long id, String data, Map<String, String> fields) {
    /** Copies the fields. */
    public SseEvent {
        fields = Map.copyOf(fields);
    }
}
