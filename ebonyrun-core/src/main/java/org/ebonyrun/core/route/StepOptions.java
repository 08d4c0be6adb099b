package org.ebonyrun.core.route;

/**
 * The operator's settings for the steps of a route.
 *
 * @param dueMillis the time from the submission of a step until its results are due, in
 *     milliseconds
 * @param abandonMillis the time from the submission of a step until its unfinished samples may be
 *     abandoned, in milliseconds
 * @param singleVersion whether a single weight version must generate the whole text of a sample
 */
public record StepOptions(long dueMillis, long abandonMillis, boolean singleVersion) {
    /** The settings of a route that takes no steps. */
    public static final StepOptions NONE = new StepOptions(0, 0, false);
}
