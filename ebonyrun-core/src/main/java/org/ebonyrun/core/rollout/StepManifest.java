package org.ebonyrun.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.TrainerId;

/**
 * The manifest that a trainer submits for a step in deployments with agents: the prompts and the
 * number of samples of each. Slots are numbered from zero, group after group.
 *
 * <p>{@code org.ebonyrun.daemon.hosted.StepManifest} is another type: the small part of a step that
 * entries without agents store.
 *
 * <p>Immutable and thread safe.
 *
 * @param trainer the trainer
 * @param step the number of the step
 * @param className the class of work
 * @param version the trainer's weight version at submission
 * @param groups the prompts
 */
public record StepManifest(
        @JsonProperty("trainer") TrainerId trainer,
        @JsonProperty("step") long step,
        @JsonProperty("class") ClassName className,
        @JsonProperty("version") long version,
        @JsonProperty("groups") List<PromptGroup> groups) {
    /** Maximum number of samples in a step. */
    public static final int MAX_SLOTS = 65_536;

    /** Copies the groups and checks the number of samples. */
    public StepManifest {
        checkArgument(trainer != null, "trainer is missing");
        checkArgument(className != null, "class is missing");
        checkArgument(groups != null && !groups.isEmpty(), "groups is empty");
        groups = List.copyOf(groups);
        int slots = groups.stream().mapToInt(PromptGroup::samples).sum();
        checkArgument(slots <= MAX_SLOTS, "a step has at most %s samples: %s", MAX_SLOTS, slots);
    }

    /** Returns the number of slots, which is the number of samples of all groups. */
    public int slots() {
        return groups.stream().mapToInt(PromptGroup::samples).sum();
    }
}
