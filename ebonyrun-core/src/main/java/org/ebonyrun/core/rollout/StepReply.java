package org.ebonyrun.core.rollout;

import java.util.List;
import org.ebonyrun.base.result.Fault;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a {@link StepRequest}.
 *
 * @param fault what went wrong; null on success
 * @param cursor the cursor that includes the samples of this answer
 * @param samples the samples
 * @param remaining how many slots the trainer still lacks after this answer
 * @param complete whether the trainer has the whole step
 */
public record StepReply(
        @Nullable Fault fault,
        String cursor,
        List<Sample> samples,
        int remaining,
        boolean complete) {
    /** Copies the samples. */
    public StepReply {
        samples = List.copyOf(samples);
    }

    /** Returns a failed answer. */
    public static StepReply failed(Fault fault) {
        return new StepReply(fault, "", List.of(), 0, false);
    }

    /** Returns the answer to a submission or cancellation that succeeded. */
    public static StepReply accepted() {
        return new StepReply(null, "", List.of(), 0, false);
    }
}
