package org.ebonyrun.core.step;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;

/**
 * The beginning of a sample's text, handed from one owner of a step to the next, or from a step to
 * a later one.
 *
 * @param id the sample's id
 * @param events the data of the first events, in order
 * @param versions the weight version of each of these events
 * @param complete whether the text is whole and only its score is missing
 */
public record SampleCheckpoint(
        String id, List<String> events, List<Integer> versions, boolean complete) {
    /** Copies the lists. */
    public SampleCheckpoint {
        events = List.copyOf(events);
        versions = List.copyOf(versions);
        checkArgument(
                events.size() == versions.size(),
                "text of %s has %s events and %s versions",
                id,
                events.size(),
                versions.size());
    }

    /**
     * Returns the whole text of a result. Which versions generated it is kept, but not which event
     * each of them generated; the version is zero if the result names none.
     *
     * @throws IllegalArgumentException if the result was given up
     */
    public static SampleCheckpoint ofResult(SampleResult result) {
        checkArgument(result.done(), "sample %s was given up", result.id());
        List<String> lines = List.of(result.text().split("\n", -1));
        List<Integer> known = result.versions().isEmpty() ? List.of(0) : result.versions();
        List<Integer> versions = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            versions.add(known.get(Math.min(i, known.size() - 1)));
        }
        return new SampleCheckpoint(result.id(), lines, versions, true);
    }
}
