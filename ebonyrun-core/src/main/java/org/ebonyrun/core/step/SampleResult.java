package org.ebonyrun.core.step;

import java.util.List;

/**
 * The final result of one sample.
 *
 * @param id the sample's ID
 * @param done whether the text is complete; otherwise the sample was abandoned
 * @param text the data of all events, separated by line feeds; empty unless done
 * @param versions the weight versions that generated an event of the text, ascending
 * @param score the score that the scoring service returned; empty if the sample is not scored
 */
public record SampleResult(
        String id, boolean done, String text, List<Integer> versions, String score) {
    /** Copies the versions. */
    public SampleResult {
        versions = List.copyOf(versions);
    }

    /** Creates the result of an abandoned sample. */
    public static SampleResult abandoned(String id) {
        return new SampleResult(id, false, "", List.of(), "");
    }
}
