package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks the groups of a step: first those that count towards the wanted groups, then the others.
 *
 * <p>Designed for trainers that continue once a part of a step's groups is complete: groups that
 * were carried over from an earlier step come first, and those that are expected to take longest
 * come last. Stateless and thread safe.
 */
final class GroupRanking {
    /** The rank of groups that the trainer does not have to wait for. */
    static final int SURPLUS = 1;

    /** The rank of groups that are to be complete when the trainer continues. */
    static final int WANTED = 0;

    private GroupRanking() {}

    /** Returns the rank of each group. */
    static Map<String, Integer> rankGroups(StepSpec step) {
        Map<String, Long> maxTokens = new LinkedHashMap<>();
        for (SampleSpec sample : step.samples()) {
            maxTokens.merge(sample.group(), sample.expectedTokens(), Math::max);
        }
        List<String> groups = new ArrayList<>(maxTokens.keySet());
        Map<String, Integer> position = new HashMap<>();
        for (String group : groups) {
            position.put(group, position.size());
        }
        // Carried-over groups come first in a step and fill at most half of the wanted places.
        int preferred = step.wantedGroups() / 2;
        groups.sort(
                Comparator.comparing((String group) -> position.get(group) >= preferred)
                        .thenComparing(maxTokens::get)
                        .thenComparing(position::get));
        Map<String, Integer> ranks = new HashMap<>();
        for (String group : groups) {
            ranks.put(group, ranks.size() < step.wantedGroups() ? WANTED : SURPLUS);
        }
        return ranks;
    }
}
