package org.ebonyrun.core.routing;

import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;

/**
 * Performs the actions that a {@link Dispatcher} decides on. Called on the dispatch event loop's
 * thread; must not block.
 */
public interface DispatchOutputs {
    /** Sends a message to an agent. Returns false if no part of it was sent. */
    boolean send(VmId vm, AttemptMessage message);

    /** Forwards a piece of a streaming response to the caller. */
    void onPiece(Work work, byte[] data);

    /** Ends a call with its complete response. */
    void onAnswer(Work work, Answer answer);

    /** Ends a sample that is finished and held by the agent of {@code vm}. */
    void onSampleFinished(Work work, VmId vm, SampleInfo info);

    /** Reports a finished sample of an attempt that this process did not start. */
    void onUntrackedSampleFinished(VmId vm, SampleKey key, SampleInfo info);

    /** Called when a call is about to be retried. */
    default void onRetry(Work work) {}

    /** Ends work that failed and will not be retried. */
    void onFault(Work work, Fault fault);
}
