package org.ebonyrun.base.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one sample by the slot of the trainer's step that it fills.
 *
 * <p>Immutable and thread safe.
 *
 * @param trainer the trainer
 * @param step the number of the trainer's step
 * @param slot the index of the sample within the step, from zero
 */
public record SampleKey(TrainerId trainer, long step, int slot) {
    /** Checks the numbers. */
    public SampleKey {
        checkArgument(step >= 0, "step is negative: %s", step);
        checkArgument(slot >= 0, "slot is negative: %s", slot);
    }

    @Override
    public String toString() {
        return trainer + "/" + step + "/" + slot;
    }
}
