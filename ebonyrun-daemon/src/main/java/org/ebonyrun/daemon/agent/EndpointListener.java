package org.ebonyrun.daemon.agent;

import java.util.Optional;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;

/** Receives what an endpoint does. Called on I/O threads; must not block for long. */
public interface EndpointListener {
    /** Called for each piece of an answer; the version is zero when none was stated. */
    void onPiece(AttemptId id, byte[] data, int tokens, long version);

    /** Called once when an answer is whole. */
    void onEnd(AttemptId id, int status, String contentType);

    /** Called once when an attempt failed; tells whether a byte of it may have left. */
    void onFailure(AttemptId id, boolean sent, FaultCode code, String detail);

    /** Called for each reading of the endpoint's state. */
    void onState(long version, int slots);

    /** Called when the endpoint's state could not be read. */
    void onUnreachable();

    /** Called once for each order. */
    void onLoadFinished(long version, Optional<Fault> fault);
}
