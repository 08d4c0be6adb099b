package org.ebonyrun.core.rollout;

/** Encodes the completion requests that are sent to engines. Implementations are thread safe. */
@FunctionalInterface
public interface CompletionRequestEncoder {
    /** Returns the body of a streaming completion request for one sample of the group. */
    byte[] encode(PromptGroup group);
}
