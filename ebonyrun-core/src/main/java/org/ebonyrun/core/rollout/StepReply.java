package org.ebonyrun.core.rollout;

import java.util.List;
import org.ebonyrun.base.result.Fault;
import org.jspecify.annotations.Nullable;

/**
 * The reply to a {@link StepRequest}.
 *
 * @param fault the reason of the failure; null on success
 * @param cursor the pull's cursor extended by the samples of this reply
 * @param samples the delivered samples
 * @param remaining the number of slots that the trainer lacks after this reply
 * @param complete whether the trainer has acknowledged every slot of the step
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

    /** Returns the reply to a request that failed. */
    public static StepReply failed(Fault fault) {
        return new StepReply(fault, "", List.of(), 0, false);
    }

    /** Returns the reply to a submission or cancellation that succeeded. */
    public static StepReply accepted() {
        return new StepReply(null, "", List.of(), 0, false);
    }
}
