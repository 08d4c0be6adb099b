package org.ebonyrun.core.rollout;

/** Makes the request body that an engine needs for a prompt. Implementations are thread safe. */
@FunctionalInterface
public interface CompletionRequestEncoder {
    /** Returns the body of a streaming completion request for one sample of a group. */
    byte[] encode(PromptGroup group);
}
