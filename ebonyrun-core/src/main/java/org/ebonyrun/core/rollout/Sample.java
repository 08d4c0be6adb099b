package org.ebonyrun.core.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.ebonyrun.core.attempt.WeightVersions;
import org.jspecify.annotations.Nullable;

/**
 * A finished sample as it is delivered to a trainer.
 *
 * @param slot the slot that it fills
 * @param group the index of its prompt group
 * @param text the generated text
 * @param tokens the number of generated tokens
 * @param versions the weight versions that produced it
 * @param score the scoring service's response; null if the class of work has no scorer
 */
public record Sample(
        @JsonProperty("slot") int slot,
        @JsonProperty("group") int group,
        @JsonProperty("text") String text,
        @JsonProperty("tokens") int tokens,
        @JsonProperty("versions") WeightVersions versions,
        @JsonProperty("score") @Nullable String score) {}
