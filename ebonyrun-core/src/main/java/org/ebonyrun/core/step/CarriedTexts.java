package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds what an earlier step left that a later one may use.
 *
 * <p>Answers the load of steps that end before their slowest groups are whole: the trainer asks for
 * those groups again, and waits for them whatever else is complete, so each event that need not be
 * generated again shortens the step.
 *
 * <p>Stateless and thread safe.
 */
public final class CarriedTexts {
    private CarriedTexts() {}

    /**
     * Returns the texts that fit a step: those of its samples, generated only by versions within
     * its bound.
     *
     * @param step the later step
     * @param singleVersion whether one version must have generated a whole text
     * @param listed the results that the earlier step listed
     * @param partial the texts that it did not list
     */
    public static List<SampleCheckpoint> selectUsable(
            StepSpec step,
            boolean singleVersion,
            Collection<SampleResult> listed,
            Collection<SampleCheckpoint> partial) {
        Set<String> wanted = new HashSet<>();
        step.samples().forEach(sample -> wanted.add(sample.id()));
        Map<String, SampleCheckpoint> texts = new LinkedHashMap<>();
        for (SampleCheckpoint text : partial) {
            texts.put(text.id(), text);
        }
        for (SampleResult result : listed) {
            if (result.done()) {
                texts.put(result.id(), SampleCheckpoint.ofResult(result));
            }
        }
        List<SampleCheckpoint> fitting = new ArrayList<>();
        for (SampleCheckpoint text : texts.values()) {
            if (wanted.contains(text.id()) && fits(text, step, singleVersion)) {
                fitting.add(text);
            }
        }
        return fitting;
    }

    private static boolean fits(SampleCheckpoint text, StepSpec step, boolean singleVersion) {
        Set<Integer> versions = new HashSet<>(text.versions());
        boolean fresh = versions.stream().allMatch(version -> version >= step.minVersion());
        return fresh && !versions.isEmpty() && !(singleVersion && versions.size() > 1);
    }
}
