package org.ebonyrun.core.route;

/**
 * How the operators want the steps of a route treated.
 *
 * @param dueMillis when all results of a step are due after its submission, in milliseconds
 * @param giveUpMillis when a sample may be given up after the submission, in milliseconds
 * @param singleVersion whether a sample must come from one version of the weights
 */
public record StepOptions(long dueMillis, long abandonMillis, boolean singleVersion) {
    /** The terms of a route that takes no steps. */
    public static final StepOptions NONE = new StepOptions(0, 0, false);
}
