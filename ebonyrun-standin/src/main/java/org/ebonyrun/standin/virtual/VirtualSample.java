package org.ebonyrun.standin.virtual;

import java.util.List;

/**
 * A sample that a virtual trainer received.
 *
 * @param step the step
 * @param slot the slot
 * @param text the text
 * @param tokens the token count stated with the sample
 * @param versions the weight versions stated with the sample
 * @param trainerVersion the trainer's weight version at the pull
 */
public record VirtualSample(
        long step, int slot, String text, int tokens, List<Long> versions, long trainerVersion) {
    /** Returns the staleness at arrival, in versions. */
    public long age() {
        return trainerVersion - versions.stream().mapToLong(Long::longValue).min().orElse(0);
    }
}
