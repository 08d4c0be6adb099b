package org.ebonyrun.core.rollout;

import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.wire.Message;

/** Requests of trainers to the owner of a step. Immutable. */
public sealed interface StepRequest extends Message {
    /** Returns the trainer that the step belongs to. */
    TrainerId trainer();

    /** Returns the number of the step. */
    long step();

    /** Submits a step. Idempotent. */
    record Submit(StepManifest manifest) implements StepRequest {
        @Override
        public TrainerId trainer() {
            return manifest.trainer();
        }

        @Override
        public long step() {
            return manifest.step();
        }
    }

    /**
     * Requests finished samples.
     *
     * @param cursor the cursor of the previous reply; empty for the first pull
     * @param version the trainer's current weight version
     * @param max the maximum number of samples in the reply
     * @param waitMillis how long the owner waits for a finished sample, in milliseconds
     */
    record Pull(TrainerId trainer, long step, String cursor, long version, int max, long waitMillis)
            implements StepRequest {}

    /** Cancels a step. */
    record Cancel(TrainerId trainer, long step) implements StepRequest {}
}
