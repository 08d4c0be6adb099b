package org.ebonyrun.daemon.entry;

import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.core.routing.Work;

/** Receives what becomes of one call. Called on the dispatch duty; must not block. */
interface CallListener {
    /** Called for each piece of a streaming answer. */
    void onPiece(byte[] data);

    /** Called once when the answer is whole. */
    void onAnswer(Work work, Answer answer);

    /** Called once instead of {@link #onAnswer}. */
    void onFault(Fault fault);
}
