package org.ebonyrun.standin.trainer;

import java.util.List;

/**
 * What a trainer's own log says of one sample that arrived.
 *
 * @param step the step
 * @param slot the slot
 * @param text the text
 * @param versions the versions that the sample names
 * @param trainerVersion the version that the trainer stated with the pull
 * @param scored whether a score came with it
 */
public record ReceivedSample(
        long step,
        int slot,
        String text,
        List<Long> versions,
        long trainerVersion,
        boolean scored) {
    /** Returns the sample's age at its arrival, in versions. */
    public long age() {
        return trainerVersion - versions.stream().mapToLong(Long::longValue).min().orElse(0);
    }
}
