package org.ebonyrun.core.rollout;

import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.wire.Message;

/** What trainers ask of a step's owner. Immutable. */
public sealed interface StepRequest extends Message {
    /** Returns the trainer whose step it is. */
    TrainerId trainer();

    /** Returns the number of the step. */
    long step();

    /** Submits a step; repeating it changes nothing. */
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
     * Asks for finished samples.
     *
     * @param cursor the cursor of the answer before; empty for the first pull
     * @param version the trainer's weight version now
     * @param max the greatest number of samples in the answer
     * @param waitMillis how long to wait for a sample, in milliseconds
     */
    record Pull(TrainerId trainer, long step, String cursor, long version, int max, long waitMillis)
            implements StepRequest {}

    /** Gives a step up. */
    record Cancel(TrainerId trainer, long step) implements StepRequest {}
}
