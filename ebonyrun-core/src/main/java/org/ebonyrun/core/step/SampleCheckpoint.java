package org.ebonyrun.core.step;

import static com.google.common.base.Preconditions.checkArgument;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * A checkpoint of a sample: the text generated so far. One owner of a step passes it to the next
 * owner, or a step passes it to a later step.
 *
 * @param id the sample's ID
 * @param events the data of the first events, in order
 * @param versions the weight version of each of these events
 * @param origin what generated the events; null if unknown, so that only a complete text is of use
 * @param complete whether the text is complete and only its score is missing
 */
public record SampleCheckpoint(
        String id,
        List<String> events,
        List<Integer> versions,
        @Nullable StreamOrigin origin,
        boolean complete) {
    // The names of the fields, the origin, and the quotes, commas and version of an event.
    private static final int OVERHEAD_BYTES = 200;
    private static final int EVENT_OVERHEAD_BYTES = 8;

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

    /** Returns the bytes of this checkpoint as JSON, escapes aside. */
    private int bytes() {
        int bytes = OVERHEAD_BYTES;
        for (String event : events) {
            bytes += event.getBytes(StandardCharsets.UTF_8).length + EVENT_OVERHEAD_BYTES;
        }
        return bytes;
    }

    /**
     * Returns the checkpoints of a list that fit into a limit together; one that does not fit any
     * more is left out.
     */
    public static List<SampleCheckpoint> fitting(List<SampleCheckpoint> texts, int maxBytes) {
        List<SampleCheckpoint> fitting = new ArrayList<>();
        int left = maxBytes;
        for (SampleCheckpoint text : texts) {
            int bytes = text.bytes();
            if (bytes <= left) {
                fitting.add(text);
                left -= bytes;
            }
        }
        return fitting;
    }

    /**
     * Returns a checkpoint with the complete text of a result. It has the weight versions of the
     * result, but does not record which event each of them generated; the version of every event is
     * zero if the result has none.
     *
     * @throws IllegalArgumentException if the sample was abandoned
     */
    public static SampleCheckpoint ofResult(SampleResult result) {
        checkArgument(result.done(), "sample %s was abandoned", result.id());
        List<String> lines = List.of(result.text().split("\n", -1));
        List<Integer> resultVersions = result.versions().isEmpty() ? List.of(0) : result.versions();
        List<Integer> versions = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            versions.add(resultVersions.get(Math.min(i, resultVersions.size() - 1)));
        }
        return new SampleCheckpoint(result.id(), lines, versions, null, true);
    }
}
