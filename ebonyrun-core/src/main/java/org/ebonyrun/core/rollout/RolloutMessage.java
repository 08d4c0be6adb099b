package org.ebonyrun.core.rollout;

import org.ebonyrun.base.wire.Message;

/** Messages between entries about steps. Immutable. */
public sealed interface RolloutMessage extends Message {
    /**
     * Passes a trainer's request on to the owner of the step.
     *
     * @param requestId a number that is unique on the link
     */
    record Forward(long requestId, StepRequest request) implements RolloutMessage {}

    /** Answers a {@link Forward}. */
    record Forwarded(long requestId, StepReply reply) implements RolloutMessage {}
}
