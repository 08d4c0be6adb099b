package org.ebonyrun.core.step;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * A step, as the trainer submitted it.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the step's ID
 * @param host the host under which it was submitted
 * @param prefix the path prefix of its route
 * @param number the step's number in the trainer's sequence of steps
 * @param model the model that is trained; empty if none is
 * @param minVersion the oldest weight version that may generate a token
 * @param wantedGroups the number of complete groups that the trainer waits for
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
        checkArgument(
                minVersion >= 0, "minimum version of step %s is negative: %s", id, minVersion);
    }
}
