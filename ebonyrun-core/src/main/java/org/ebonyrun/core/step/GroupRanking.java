package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks the groups of a step: those that the trainer should get, then the others.
 *
 * <p>Answers the load of steps whose trainer goes on with a part of its groups: groups that are
 * expected to take longest are left for last, while those that were carried over from an earlier
 * step come first. Stateless and thread safe.
 */
final class GroupRanking {
    /** The rank of groups without which the trainer goes on. */
    static final int SURPLUS = 1;

    /** The rank of groups that the trainer should get. */
    static final int WANTED = 0;

    private GroupRanking() {}

    /** Returns the rank of each group. */
    static Map<String, Integer> rankGroups(StepSpec step) {
        Map<String, Long> longest = new LinkedHashMap<>();
        for (SampleSpec sample : step.samples()) {
            longest.merge(sample.group(), sample.expectedTokens(), Math::max);
        }
        List<String> groups = new ArrayList<>(longest.keySet());
        Map<String, Integer> place = new HashMap<>();
        for (String group : groups) {
            place.put(group, place.size());
        }
        // Carried-over groups take at most half of the wanted places and are listed first.
        int certain = step.wantedGroups() / 2;
        groups.sort(
                Comparator.comparing((String group) -> place.get(group) >= certain)
                        .thenComparing(longest::get)
                        .thenComparing(place::get));
        Map<String, Integer> ranks = new HashMap<>();
        for (String group : groups) {
            ranks.put(group, ranks.size() < step.wantedGroups() ? WANTED : SURPLUS);
        }
        return ranks;
    }
}
