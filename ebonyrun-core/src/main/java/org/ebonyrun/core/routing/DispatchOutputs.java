package org.ebonyrun.core.routing;

import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;

/** What the dispatch duty does to the world. Called on the duty's thread; must not block. */
public interface DispatchOutputs {
    /** Sends a message to an agent; returns false if nothing of it was sent. */
    boolean send(VmId vm, AttemptMessage message);

    /** Passes a piece of a streaming answer on. */
    void onPiece(Work work, byte[] data);

    /** Ends a call with its whole answer. */
    void onAnswer(Work work, Answer answer);

    /** Ends a sample: it is finished and held by {@code vm}. */
    void onSampleFinished(Work work, VmId vm, SampleInfo info);

    /** Reports a finished sample of an attempt that this process did not start. */
    void onUntrackedSampleFinished(VmId vm, SampleKey key, SampleInfo info);

    /** Takes note that a call is tried again. */
    default void onRetry(Work work) {}

    /** Ends work that will not be tried again. */
    void onFault(Work work, Fault fault);
}
