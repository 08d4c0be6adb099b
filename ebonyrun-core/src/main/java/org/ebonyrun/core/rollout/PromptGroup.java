package org.ebonyrun.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Samples of one prompt.
 *
 * @param prompt the prompt
 * @param samples how many samples are wanted
 * @param maxTokens the greatest number of tokens of each
 */
public record PromptGroup(
        @JsonProperty("prompt") String prompt,
        @JsonProperty("samples") int samples,
        @JsonProperty("max_tokens") int maxTokens) {
    /** Checks the numbers. */
    public PromptGroup {
        checkArgument(prompt != null, "prompt is missing");
        checkArgument(samples > 0 && samples <= 4_096, "samples is not 1 to 4096: %s", samples);
        checkArgument(maxTokens > 0, "max_tokens is not positive: %s", maxTokens);
    }
}
