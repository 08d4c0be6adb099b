package org.ebonyrun.core.attempt;

import org.ebonyrun.base.id.AttemptId;

/**
 * Performs the actions that an {@link AttemptMachine} decides on. Called on the attempt event
 * loop's thread; must not block.
 */
public interface AttemptOutputs {
    /** Sends a message to the entry on the given link. */
    void send(long link, AttemptMessage message);

    /** Sends a job to the endpoint. */
    void start(AttemptId id, Job job);

    /** Cancels a running attempt at the endpoint. */
    void stop(AttemptId id);
}
