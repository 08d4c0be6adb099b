package org.ebonyrun.core.step;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * A step, as the trainer asked for it.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the step's id
 * @param host the host under which it was submitted
 * @param prefix the prefix of its route
 * @param number the trainer's count of steps
 * @param model the model that is trained; empty if none is
 * @param minVersion the oldest weight version that may generate a token
 * @param wantedGroups how many whole groups the trainer waits for
 * @param samples the samples; groups that the trainer waits for in any case come first
 */
public record StepSpec(
        StepId id,
        String host,
        String prefix,
        int number,
        String model,
        int minVersion,
        int wantedGroups,
        List<SampleSpec> samples) {
    /** Copies the samples. */
    public StepSpec {
        samples = List.copyOf(samples);
        checkArgument(!samples.isEmpty(), "step %s has no sample", id);
        checkArgument(minVersion >= 0, "step %s has a bound of %s", id, minVersion);
    }
}
