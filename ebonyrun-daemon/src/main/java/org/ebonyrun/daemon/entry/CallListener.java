package org.ebonyrun.daemon.entry;

import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.core.routing.Work;

/**
 * Receives the response or the fault of one call. Called on the dispatch event loop; must not
 * block.
 */
interface CallListener {
    /** Called for each piece of a streaming response. */
    void onPiece(byte[] data);

    /** Called once with the complete response. */
    void onAnswer(Work work, Answer answer);

    /** Called once instead of {@link #onAnswer} if the call fails. */
    void onFault(Fault fault);
}
