package org.ebonyrun.core.rollout;

import org.ebonyrun.base.id.TrainerId;

/**
 * The state of a step for people.
 *
 * @param trainer the trainer
 * @param step the number of the step
 * @param slots the number of samples
 * @param delivered samples that the trainer has
 * @param ready finished samples
 * @param submitted samples that run or wait for room
 * @param stale samples that were run again because of their age
 * @param repeated second attempts that were started for slow samples
 * @param version the trainer's version by its newest pull
 * @param ageMillis time since this process began to own the step, in milliseconds
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
