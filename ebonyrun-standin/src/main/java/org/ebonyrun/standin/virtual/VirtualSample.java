package org.ebonyrun.standin.virtual;

import java.util.List;

/**
 * A sample in a virtual trainer's log.
 *
 * @param step the step
 * @param slot the slot
 * @param text the text
 * @param tokens tokens that the sample says it has
 * @param versions the versions that it names
 * @param trainerVersion the version that the trainer stated with the pull
 */
public record VirtualSample(
        long step, int slot, String text, int tokens, List<Long> versions, long trainerVersion) {
    /** Returns the age at arrival, in versions. */
    public long age() {
        return trainerVersion - versions.stream().mapToLong(Long::longValue).min().orElse(0);
    }
}
