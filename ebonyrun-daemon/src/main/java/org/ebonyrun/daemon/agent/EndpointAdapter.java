package org.ebonyrun.daemon.agent;

import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.core.attempt.Job;

/**
 * Client of one kind of endpoint, which translates jobs into the endpoint's protocol.
 * Implementations are thread safe and never block; they report results to an {@link
 * EndpointListener}.
 */
public interface EndpointAdapter {
    /** Starts a job. The request is sent to the endpoint at most once. */
    void start(AttemptId id, Job job);

    /** Cancels a job. The attempt event loop ignores any later events of the job. */
    void stop(AttemptId id);

    /** Requests the endpoint's state, which is reported later. */
    void requestState();

    /** Orders the endpoint to load a version of the weights; the result is reported later. */
    void loadWeights(long version, long fence, String source);
}
