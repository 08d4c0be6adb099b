package org.ebonyrun.standin.trainer;

/**
 * How a trainer behaves.
 *
 * @param trainer its name
 * @param className the class of its steps
 * @param service the service whose weights it trains
 * @param groups prompts in a step
 * @param samplesPerGroup samples of each prompt
 * @param maxTokens tokens of each sample
 * @param trainMillis time that it trains on a step, in milliseconds
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
