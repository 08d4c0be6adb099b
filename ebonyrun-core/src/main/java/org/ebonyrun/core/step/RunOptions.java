package org.ebonyrun.core.step;

/**
 * The priority and the required weight version of a run.
 *
 * @param priority the priority of the run; zero is the highest
 * @param expectedVersion the only weight version under which the sample may run; zero for any
 */
public record RunOptions(int priority, int expectedVersion) {}
