package org.ebonyrun.daemon.agent;

import java.util.Optional;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;

/** Receives an endpoint's responses and state. Called on I/O threads; must not block for long. */
public interface EndpointListener {
    /** Called for each piece of a response; the weight version is zero if it is unknown. */
    void onPiece(AttemptId id, byte[] data, int tokens, long version);

    /** Called once when a response is complete. */
    void onEnd(AttemptId id, int status, String contentType);

    /**
     * Called once when an attempt failed.
     *
     * @param sent whether a part of the request may have been sent
     */
    void onFailure(AttemptId id, boolean sent, FaultCode code, String detail);

    /** Called each time the endpoint's state was read. */
    void onState(long version, int slots);

    /** Called when the endpoint's state could not be read. */
    void onUnreachable();

    /** Called once for each order to load weights; the fault is empty if it succeeded. */
    void onLoadFinished(long version, Optional<Fault> fault);
}
