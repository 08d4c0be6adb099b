package org.ebonyrun.core.step;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import org.ebonyrun.base.id.WorkspaceName;
import org.jspecify.annotations.Nullable;

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
 * @param workspace the workspace that submitted the step; null if there are none
 */
public record StepSpec(
        StepId id,
        String host,
        String prefix,
        int number,
        String model,
        int minVersion,
        int wantedGroups,
        List<SampleSpec> samples,
        @Nullable WorkspaceName workspace) {
    /** Copies the samples. */
    public StepSpec {
        samples = List.copyOf(samples);
        checkArgument(!samples.isEmpty(), "step %s has no sample", id);
        checkArgument(
                minVersion >= 0, "minimum version of step %s is negative: %s", id, minVersion);
    }

    /** Creates a step that belongs to no workspace. */
    public StepSpec(
            StepId id,
            String host,
            String prefix,
            int number,
            String model,
            int minVersion,
            int wantedGroups,
            List<SampleSpec> samples) {
        this(id, host, prefix, number, model, minVersion, wantedGroups, samples, null);
    }

    /** Returns this step as one of a route with another prefix. */
    public StepSpec withPrefix(String newPrefix) {
        return new StepSpec(
                id, host, newPrefix, number, model, minVersion, wantedGroups, samples, workspace);
    }

    /** Returns this step as one of a workspace. */
    public StepSpec withWorkspace(@Nullable WorkspaceName owner) {
        return new StepSpec(
                id, host, prefix, number, model, minVersion, wantedGroups, samples, owner);
    }
}
