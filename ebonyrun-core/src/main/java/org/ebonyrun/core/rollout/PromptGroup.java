package org.ebonyrun.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A prompt and the samples that are generated from it.
 *
 * @param prompt the prompt
 * @param samples the number of samples to generate
 * @param maxTokens the maximum number of tokens of each sample
 */
public record PromptGroup(
        @JsonProperty("prompt") String prompt,
        @JsonProperty("samples") int samples,
        @JsonProperty("max_tokens") int maxTokens) {
    /** Checks that the prompt is present and that the numbers are within their limits. */
    public PromptGroup {
        checkArgument(prompt != null, "prompt is missing");
        checkArgument(
                samples > 0 && samples <= 4_096, "samples is not between 1 and 4096: %s", samples);
        checkArgument(maxTokens > 0, "max_tokens is not positive: %s", maxTokens);
    }
}
