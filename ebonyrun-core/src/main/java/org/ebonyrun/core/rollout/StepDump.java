package org.ebonyrun.core.rollout;

import org.ebonyrun.base.id.TrainerId;

/**
 * The state of a step, for the admin dump.
 *
 * @param trainer the trainer
 * @param step the number of the step
 * @param slots the number of samples
 * @param delivered the number of samples that the trainer has acknowledged
 * @param ready the number of finished samples that are ready for delivery
 * @param submitted the number of samples that run or wait for an endpoint
 * @param stale how many samples ran again because their weight version was too old
 * @param repeated the number of hedged attempts that were started for slow samples
 * @param version the trainer's weight version according to its latest pull
 * @param ageMillis time since this process started or took over the step, in milliseconds
 */
public record StepDump(
        TrainerId trainer,
        long step,
        int slots,
        int delivered,
        int ready,
        int submitted,
        long stale,
        long repeated,
        long version,
        long ageMillis) {}
