package org.ebonyrun.core.step;

import java.util.List;

/**
 * The result of one sample, as it is listed for good.
 *
 * @param id the sample's id
 * @param done whether it has its whole text; otherwise it was given up
 * @param text the data of all events, separated by line feeds; empty unless done
 * @param versions the weight versions that generated an event of the text, ascending
 * @param score what the scoring service said; empty if the sample is not scored
 */
public record SampleResult(
        String id, boolean done, String text, List<Integer> versions, String score) {
    /** Copies the versions. */
    public SampleResult {
        versions = List.copyOf(versions);
    }

    /** Creates the result of a sample that was given up. */
    public static SampleResult abandoned(String id) {
        return new SampleResult(id, false, "", List.of(), "");
    }
}
