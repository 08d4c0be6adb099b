package org.ebonyrun.core.step;

import java.util.List;

/**
 * The beginning of a sample's text, handed from one owner of a step to the next.
 *
 * @param id the sample's id
 * @param events the data of the first events, in order
 * @param versions the weight version of each of these events
 * @param complete whether the text is whole and only its score is missing
 */
public record PartialText(
        String id, List<String> events, List<Integer> versions, boolean complete) {
    /** Copies the lists. */
    public PartialText {
        events = List.copyOf(events);
        versions = List.copyOf(versions);
    }
}
