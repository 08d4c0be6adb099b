package org.ebonyrun.core.rollout;

import org.ebonyrun.base.wire.Message;

/** Messages that entries exchange about trainers' steps. Immutable. */
public sealed interface RolloutMessage extends Message {
    /**
     * Forwards a trainer's request to the owner of the step.
     *
     * @param requestId a number that is unique on the link
     */
    record Forward(long requestId, StepRequest request) implements RolloutMessage {}

    /** Returns the owner's reply to a {@link Forward}. */
    record Forwarded(long requestId, StepReply reply) implements RolloutMessage {}
}
