package org.ebonyrun.core.attempt;

import org.ebonyrun.base.id.AttemptId;

/** What the attempt duty does to the world. Called on the duty's thread; must not block. */
public interface AttemptOutputs {
    /** Sends a message to the entry on the given link. */
    void send(long link, AttemptMessage message);

    /** Hands a job to the endpoint. */
    void start(AttemptId id, Job job);

    /** Tells the endpoint to stop an attempt. */
    void stop(AttemptId id);
}
