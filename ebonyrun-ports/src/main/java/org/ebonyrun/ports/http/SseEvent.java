package org.ebonyrun.ports.http;

import java.util.Map;

/**
 * One event of a server-sent event stream.
 *
 * @param id the numeric ID of the event; -1 if it has none
 * @param data the data of the event, with lines separated by line feeds
 * @param fields the other fields of the event
 */
public record SseEvent(long id, String data, Map<String, String> fields) {
    /** Copies the fields. */
    public SseEvent {
        fields = Map.copyOf(fields);
    }
}
