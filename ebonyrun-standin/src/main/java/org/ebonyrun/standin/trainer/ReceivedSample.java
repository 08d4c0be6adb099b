package org.ebonyrun.standin.trainer;

import java.util.List;

/**
 * A sample that a trainer received.
 *
 * @param step the step
 * @param slot the slot
 * @param text the text
 * @param versions the weight versions stated with the sample
 * @param trainerVersion the trainer's weight version at the pull
 * @param scored whether the sample has a score
 */
public record ReceivedSample(
        long step,
        int slot,
        String text,
        List<Long> versions,
        long trainerVersion,
        boolean scored) {
    /** Returns the staleness of the sample at its arrival, in versions. */
    public long age() {
        return trainerVersion - versions.stream().mapToLong(Long::longValue).min().orElse(0);
    }
}
