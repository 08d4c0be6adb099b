package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects texts of an earlier step that a later step may continue.
 *
 * <p>Designed for trainers that end a step before its slowest groups are complete: the next step
 * contains these groups again, and the trainer waits for them even if enough others are complete,
 * so each event that is not generated again shortens that step.
 *
 * <p>Stateless and thread safe.
 */
public final class CarriedTexts {
    private CarriedTexts() {}

    /**
     * Returns the texts that a step may continue: those of its samples that are not empty and were
     * generated only by weight versions that the step allows. A listed text takes precedence over a
     * checkpoint of the same sample.
     *
     * @param step the later step
     * @param singleVersion whether a single weight version must generate the whole text of a sample
     * @param listed the listed results of the earlier step
     * @param checkpoints the checkpoints of the earlier step
     */
    public static List<SampleCheckpoint> selectUsable(
            StepSpec step,
            boolean singleVersion,
            Collection<SampleResult> listed,
            Collection<SampleCheckpoint> checkpoints) {
        Set<String> sampleIds = new HashSet<>();
        step.samples().forEach(sample -> sampleIds.add(sample.id()));
        Map<String, SampleCheckpoint> texts = new LinkedHashMap<>();
        for (SampleCheckpoint text : checkpoints) {
            texts.put(text.id(), text);
        }
        for (SampleResult result : listed) {
            if (result.done()) {
                texts.put(result.id(), SampleCheckpoint.ofResult(result));
            }
        }
        List<SampleCheckpoint> usable = new ArrayList<>();
        for (SampleCheckpoint text : texts.values()) {
            if (sampleIds.contains(text.id()) && isUsable(text, step, singleVersion)) {
                usable.add(text);
            }
        }
        return usable;
    }

    private static boolean isUsable(SampleCheckpoint text, StepSpec step, boolean singleVersion) {
        Set<Integer> versions = new HashSet<>(text.versions());
        boolean recent = versions.stream().allMatch(version -> version >= step.minVersion());
        return recent && !versions.isEmpty() && !(singleVersion && versions.size() > 1);
    }
}
