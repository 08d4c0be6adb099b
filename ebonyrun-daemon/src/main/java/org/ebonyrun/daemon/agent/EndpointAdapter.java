package org.ebonyrun.daemon.agent;

import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.core.attempt.Job;

/**
 * Talks to one kind of endpoint in its own protocol. Implementations are thread safe and never
 * block; what happens comes back through {@link EndpointListener}.
 */
public interface EndpointAdapter {
    /** Starts a job. It is written to the endpoint at most once. */
    void start(AttemptId id, Job job);

    /** Stops a job; no event of it follows that the attempt duty would heed. */
    void stop(AttemptId id);

    /** Reads the endpoint's state. */
    void requestState();

    /** Has the endpoint load a version of the weights. */
    void loadWeights(long version, long fence, String source);
}
