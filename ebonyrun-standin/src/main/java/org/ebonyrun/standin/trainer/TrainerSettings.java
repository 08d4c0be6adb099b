package org.ebonyrun.standin.trainer;

/**
 * The options of a trainer.
 *
 * @param trainer the ID of the trainer
 * @param className the class of its steps
 * @param service the service whose weights it trains
 * @param groups number of prompts in a step
 * @param samplesPerGroup number of samples of each prompt
 * @param maxTokens number of tokens of each sample
 * @param trainMillis training time per step, in milliseconds
 */
public record TrainerSettings(
        String trainer,
        String className,
        String service,
        int groups,
        int samplesPerGroup,
        int maxTokens,
        long trainMillis) {
    /** Returns the number of samples in a step. */
    public int samplesPerStep() {
        return groups * samplesPerGroup;
    }
}
