package org.ebonyrun.core.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.ebonyrun.core.attempt.WeightVersions;
import org.jspecify.annotations.Nullable;

/**
 * A sample as a trainer gets it.
 *
 * @param slot the slot that it fills
 * @param group the index of its prompt
 * @param text the generated text
 * @param tokens the number of generated tokens
 * @param versions the weight versions that produced it
 * @param score what the scoring service said; null without one
 */
public record Sample(
        @JsonProperty("slot") int slot,
        @JsonProperty("group") int group,
        @JsonProperty("text") String text,
        @JsonProperty("tokens") int tokens,
        @JsonProperty("versions") WeightVersions versions,
        @JsonProperty("score") @Nullable String score) {}
